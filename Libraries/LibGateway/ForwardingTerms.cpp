#include <LibGateway/ForwardingTerms.h>

#include <LibCore/Rendezvous.h>
#include <LibRouting/QuarantineTable.h>
#include <algorithm>

namespace Gateway {

namespace {

// Callers that were refused during a pause return over this time after its end.
constexpr auto ReturnSpread = std::chrono::milliseconds(500);
constexpr int ReturnSteps = 64;

}

Core::Duration timeLimitOf(const CallerRequest &request, const Routes::Route &route)
{
    const auto limit = request.timeout.value_or(route.timeout);
    return route.timeout > Core::Duration::zero() ? std::min(limit, route.timeout) : limit;
}

std::vector<std::uint64_t> fingerprintsOf(const CallerRequest &request)
{
    auto fingerprints = request.promptParts;
    fingerprints.push_back(Routing::fingerprintOfRequest(request.target, request.body));
    return fingerprints;
}

Core::Duration pauseLeftFor(const CallerRequest &request, const FleetView &fleet, const std::string &service,
                            Core::Duration remaining, Core::TimePoint now)
{
    const auto end = fleet.firstAcceptance(request, service, now);
    if (!end.has_value()) {
        return {};
    }
    const auto left = *end - now;
    const auto step = static_cast<int>(Core::stableHash(request.attemptId) % ReturnSteps);
    return std::max(left, std::min<Core::Duration>(left + ReturnSpread * step / ReturnSteps, remaining));
}

}
