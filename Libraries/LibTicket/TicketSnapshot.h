#pragma once

#include <LibTicket/Ticket.h>
#include <map>
#include <msgpack.hpp>

namespace Ticket {

// An object with the number of the ticket that last changed it.
template<typename Object> struct NumberedObject {
    std::uint64_t number = 0;
    Object object;

    MSGPACK_DEFINE(number, object)
};

// The objects that result from all tickets up to a sequence, ordered by name. Hosts that have applied the same sequence
// have equal snapshots.
struct TicketSnapshot {
    std::uint64_t sequence = 0;
    std::vector<NumberedObject<AdapterState>> adapters;
    std::vector<NumberedObject<RuleState>> rules;
    std::vector<NumberedObject<ServiceRouteState>> routes;

    MSGPACK_DEFINE(sequence, adapters, rules, routes)
};

}
