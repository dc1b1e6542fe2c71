#pragma once

#include <LibCore/Time.h>

namespace Gateway {

// How far a request has got when its adapter isn't in memory.
struct LoadWait {
    Core::Duration objective {}; // Latency objective of the route.
    Core::Duration waited {}; // Since the request arrived.
    Core::Duration remaining {}; // Until its deadline.
    unsigned requests = 0; // Requests to holders to load the adapter, so far.
    // The request has run in part and continues elsewhere. Refusing it now would break the response off.
    bool isContinued = false;
};

// Whether another replica should be asked to load the adapter.
[[nodiscard]] bool mayRequestLoad(const LoadWait &wait);
// Whether to go on waiting for a load that is in progress. A second load elsewhere would take as long and slow down all
// others. A caller leaves a few latency objectives after its request, so that it is refused before that and can return
// when the adapter is in memory.
[[nodiscard]] bool mayAwaitLoad(const LoadWait &wait);

}
