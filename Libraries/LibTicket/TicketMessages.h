#pragma once

#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Ticket {

// A ticket has been accepted. The entry's text comes along when it is short.
struct TicketHint {
    static constexpr auto Kind = Peer::MessageKind::TicketHint;

    std::uint64_t sequence = 0;
    std::string entry;

    MSGPACK_DEFINE(sequence, entry)
};

}
