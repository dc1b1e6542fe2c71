#pragma once

#include <LibTicket/Ticket.h>
#include <map>
#include <msgpack.hpp>

namespace Ticket {

// An object with the number of the ticket that last wrote it.
template<typename Object> struct NumberedObject {
    std::uint64_t number = 0;
    Object object;

    MSGPACK_DEFINE(number, object)
};

// All objects as the tickets up to one sequence have left them, in order of their name. Two hosts with the same
// sequence in force have equal snapshots.
struct TicketSnapshot {
    std::uint64_t sequence = 0;
    std::vector<NumberedObject<AdapterState>> adapters;
    std::vector<NumberedObject<RuleState>> rules;
    std::vector<NumberedObject<ServiceRouteState>> routes;

    MSGPACK_DEFINE(sequence, adapters, rules, routes)
};

}
