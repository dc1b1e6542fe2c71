#pragma once

#include <LibRoutes/RouteConfiguration.h>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Routes {

// A route together with the configuration it belongs to, which a request keeps for as long as it runs.
struct MatchedRoute {
    std::shared_ptr<const RouteConfiguration> configuration;
    const Route *route = nullptr;
};

// The configuration in force. It is replaced whole and never by an older one.
class RouteTable
{
public:
    // Puts a configuration in force. Returns false, and changes nothing, when it isn't newer.
    bool replace(RouteConfiguration configuration);
    // The configuration in force, or null before the first.
    [[nodiscard]] const std::shared_ptr<const RouteConfiguration> &current() const;
    // The route of the host whose prefix is the longest that begins the path; without one, its route is null.
    // The host is compared without regard to case and port, the path without its query.
    [[nodiscard]] MatchedRoute find(std::string_view host, std::string_view target) const;

private:
    std::shared_ptr<const RouteConfiguration> m_current;
    std::unordered_map<std::string, std::vector<const Route *>> m_routesByHost; // Longest prefix first.
};

// Chooses the service for an attempt among the shares of its route, the same for the same attempt everywhere.
[[nodiscard]] const std::string &chooseService(const Route &route, std::string_view attemptId);

}
