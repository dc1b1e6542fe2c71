#pragma once

#include <LibFleet/Feed.h>

namespace Gateway {

// The times within which hosts must act on changes, counted from when the platform has accepted them.
struct ChangeBounds {
    Core::Duration apply = std::chrono::milliseconds(2000); // An operator's change is in force.
    Core::Duration drain = std::chrono::milliseconds(2000); // A replica that is leaving gets no more requests.
};

// How the host follows each kind of changes. A host that reads for its zone may lose the platform without an error: its
// call is then open until its timeout, and the other hosts read for themselves only after that. The calls therefore
// wait for a part of the bound only. Longer waits and pauses make fewer calls, each of which is charged.
[[nodiscard]] Fleet::FeedOptions configurationFeedOptions(const ChangeBounds &bounds);
[[nodiscard]] Fleet::FeedOptions replicaFeedOptions(const ChangeBounds &bounds);
[[nodiscard]] Fleet::FeedOptions holderFeedOptions(const ChangeBounds &bounds);

}
