#include <LibRoutes/RouteConfiguration.h>

#include <algorithm>

namespace Routes {

const ServiceSettings *RouteConfiguration::findService(const std::string &name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&name](const auto &service) {
        return service.name == name;
    });
    return found == services.end() ? nullptr : &*found;
}

}
