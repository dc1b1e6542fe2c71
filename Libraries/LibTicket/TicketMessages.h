#pragma once

#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Ticket {

// Notifies a host that a ticket was accepted.
struct TicketHint {
    static constexpr auto Kind = Peer::MessageKind::TicketHint;

    std::uint64_t sequence = 0;
    std::string entry; // The feed entry as JSON; empty if it is too large for a hint.

    MSGPACK_DEFINE(sequence, entry)
};

}
