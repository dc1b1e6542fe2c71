#pragma once

#include <LibGateway/FleetView.h>
#include <LibRoutes/RouteConfiguration.h>

namespace Gateway {

// How long the request may take by its caller and its route.
[[nodiscard]] Core::Duration timeLimitOf(const CallerRequest &request, const Routes::Route &route);
// The fingerprints of the request as a whole, by which it is recognised when it comes again, and of the shared parts of
// its prompt.
[[nodiscard]] std::vector<std::uint64_t> fingerprintsOf(const CallerRequest &request);
// How long the caller should stay away because all replicas are paused or at their limits; zero if they aren't. Callers
// that are refused during a pause return over some time after its end, but within the time that the request has left.
[[nodiscard]] Core::Duration pauseLeftFor(const CallerRequest &request, const FleetView &fleet,
                                          const std::string &service, Core::Duration remaining, Core::TimePoint now);

}
