#include <LibGateway/LoadPatience.h>

#include <LibGateway/ForwardingLimits.h>
#include <algorithm>

namespace Gateway {

namespace {

// Another replica is asked within one and a half latency objectives and at least this time.
constexpr auto MinRequestTime = std::chrono::milliseconds(900);
// A load that is in progress is awaited for this many quarters of the latency objective and at least this time.
constexpr int AwaitQuarterObjectives = 9;
constexpr auto MinAwaitTime = std::chrono::milliseconds(1200);
// A continued request asks holders at most this often.
constexpr unsigned MaxRequestsWhenContinued = 30;

}

bool mayRequestLoad(const LoadWait &wait)
{
    if (wait.isContinued) {
        return wait.requests < MaxRequestsWhenContinued && wait.remaining > MinRemainingTime;
    }
    const auto limit = std::max<Core::Duration>(MinRequestTime, wait.objective * 3 / 2);
    return wait.requests < MaxLoadRequests && (wait.requests == 0 || wait.waited <= limit);
}

bool mayAwaitLoad(const LoadWait &wait)
{
    if (wait.isContinued) {
        return wait.remaining > MinRemainingTime;
    }
    const auto limit = std::max<Core::Duration>(MinAwaitTime, wait.objective * AwaitQuarterObjectives / 4);
    return wait.waited < std::min(limit, (wait.waited + wait.remaining) / 2);
}

}
