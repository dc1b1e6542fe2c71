#include <LibFleet/Feed.h>

#include <algorithm>

namespace Fleet {

namespace {

// The timeout of an unanswered call to the platform, and the time of the call that follows.
constexpr auto CallTime = std::chrono::milliseconds(800);
// Share of the time that is used, which leaves the rest to a busy host and for relaying the change.
constexpr double UsedShare = 0.7;
constexpr auto MinDelay = std::chrono::milliseconds(250);
// Limits the time of every host without a replica list after an outage, whatever a change may take.
constexpr auto MaxDelay = std::chrono::milliseconds(1200);

}

Core::Duration retryDelayFor(Core::Duration applyTime)
{
    const auto usable = std::chrono::duration_cast<Core::Duration>(applyTime * UsedShare);
    return std::clamp<Core::Duration>(usable - CallTime, MinDelay, MaxDelay);
}

}
