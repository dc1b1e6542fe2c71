#include <LibRoutes/RouteConfiguration.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace Routes {

const ServiceSettings *RouteConfiguration::findService(const std::string &name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&name](const auto &service) {
        return service.name == name;
    });
    return found == services.end() ? nullptr : &*found;
}

void RouteConfiguration::updateServices()
{
    std::map<std::string_view, Core::Duration> limits;
    for (const auto &route : routes) {
        for (const auto &share : route.services) {
            if (route.pauseLimit > Core::Duration::zero()) {
                const auto [limit, isNew] = limits.try_emplace(share.service, route.pauseLimit);
                limit->second = std::min(limit->second, route.pauseLimit);
            }
        }
    }
    for (auto &service : services) {
        const auto limit = limits.find(service.name);
        service.pauseLimit = limit == limits.end() ? Core::Duration {} : limit->second;
    }
}

}
