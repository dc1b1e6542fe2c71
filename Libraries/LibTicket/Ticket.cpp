#include <LibTicket/Ticket.h>

namespace Ticket {

namespace {

struct KeyOf {
    std::string operator()(const AdapterState &adapter) const
    {
        return "adapter/" + adapter.name;
    }
    std::string operator()(const RuleState &rule) const
    {
        return "rule/" + rule.name;
    }
    std::string operator()(const ServiceRouteState &route) const
    {
        return "route/" + route.name;
    }
};

}

std::string objectKey(const ObjectState &object)
{
    return std::visit(KeyOf {}, object);
}

}
