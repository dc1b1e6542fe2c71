#pragma once

#include <LibRoutes/AccountKeys.h>
#include <LibRoutes/RouteConfiguration.h>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Routes {

// A route with the configuration that owns it. A request holds both until it ends, so that a newer configuration
// doesn't affect it.
struct MatchedRoute {
    std::shared_ptr<const RouteConfiguration> configuration;
    const Route *route = nullptr;
};

// Finds routes in the active configuration, which is replaced as a whole and only by a newer version.
class RouteTable
{
public:
    // Activates a configuration. Returns false and changes nothing if its version isn't newer.
    bool replace(RouteConfiguration configuration);
    // The active configuration, or null before the first one.
    [[nodiscard]] const std::shared_ptr<const RouteConfiguration> &current() const;
    // Finds the route of the host with the longest prefix that matches the path; the result's route is null if none
    // matches. Ignores the case and the port of the host and the query of the target.
    [[nodiscard]] MatchedRoute find(std::string_view host, std::string_view target) const;

    // The account that holds the key in the active configuration, or null. Valid until the next replacement.
    [[nodiscard]] const ClientAccount *findAccount(std::string_view key) const;

private:
    std::shared_ptr<const RouteConfiguration> m_current;
    std::optional<AccountKeys> m_accountKeys;
    std::unordered_map<std::string, std::vector<const Route *>> m_routesByHost; // Longest prefix first.
};

// Selects one of the route's services by weight. Every host selects the same service for the same attempt ID.
[[nodiscard]] const std::string &chooseService(const Route &route, std::string_view attemptId);

}
