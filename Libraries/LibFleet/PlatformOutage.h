#pragma once

#include <LibCore/Scheduler.h>
#include <functional>
#include <vector>

namespace Fleet {

// An outage of the platform, as the calls of this host show it. While it lasts, one of the host's feeds goes on trying
// and the others wait for it to succeed, so that an outage costs a large deployment one call a host at a time.
class PlatformOutage
{
public:
    // Identifies the feed that calls; its address serves as such.
    using Caller = const void *;

    // A call has failed. The first caller whose call fails is the one that goes on trying.
    void recordFailure(Caller caller);
    // A call has succeeded, so that the outage is over. Runs the functions of the callers that wait.
    void recordSuccess();
    // Whether the caller may try to reach the platform.
    [[nodiscard]] bool mayTry(Caller caller) const;
    [[nodiscard]] bool isOngoing() const;
    // The function runs once, when the outage is over.
    void awaitEnd(std::function<void()> function);

private:
    Caller m_probing = nullptr; // Null if there is no outage.
    std::vector<std::function<void()>> m_waiting;
};

}
