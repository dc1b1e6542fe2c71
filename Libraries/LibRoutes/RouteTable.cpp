#include <LibRoutes/RouteTable.h>

#include <LibCore/LowerCase.h>
#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace Routes {

namespace {

std::string toHostKey(std::string_view host)
{
    return Core::toLower(host.substr(0, host.find(':')));
}

}

bool RouteTable::replace(RouteConfiguration configuration)
{
    if (m_current != nullptr && configuration.version <= m_current->version) {
        return false;
    }
    m_current = std::make_shared<const RouteConfiguration>(std::move(configuration));
    m_accountKeys.reset();
    if (m_current->accounts.has_value()) {
        m_accountKeys.emplace(*m_current->accounts);
    }
    m_routesByHost.clear();
    for (const auto &route : m_current->routes) {
        m_routesByHost[toHostKey(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *left, const auto *right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    return true;
}

const std::shared_ptr<const RouteConfiguration> &RouteTable::current() const
{
    return m_current;
}

MatchedRoute RouteTable::find(std::string_view host, std::string_view target) const
{
    MatchedRoute match {.configuration = m_current};
    const auto path = target.substr(0, target.find('?'));
    if (const auto routes = m_routesByHost.find(toHostKey(host)); routes != m_routesByHost.end()) {
        const auto found = std::find_if(routes->second.begin(), routes->second.end(), [path](const auto *route) {
            return path.starts_with(route->prefix);
        });
        match.route = found == routes->second.end() ? nullptr : *found;
    }
    return match;
}

const ClientAccount *RouteTable::findAccount(std::string_view key) const
{
    return m_accountKeys.has_value() ? m_accountKeys->find(key) : nullptr;
}

const std::string &chooseService(const Route &route, std::string_view attemptId)
{
    static const std::string none;
    if (route.services.empty()) {
        return none;
    }
    std::uint64_t total = 0;
    for (const auto &share : route.services) {
        total += share.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    auto point = Core::stableHash(attemptId) % total;
    for (const auto &share : route.services) {
        if (point < share.weight) {
            return share.service;
        }
        point -= share.weight;
    }
    return route.services.back().service;
}

}
