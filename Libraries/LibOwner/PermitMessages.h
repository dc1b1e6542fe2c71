#pragma once

#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Owner {

// A host that waits to load adapters asks another for a permit of the weight store's rate.
struct PermitRequest {
    static constexpr auto Kind = Peer::MessageKind::PermitRequest;

    std::uint32_t waitingAdapters = 0; // That the asking host would load now.

    MSGPACK_DEFINE(waitingAdapters)
};

// The answer. A permit that is given has been taken from the giver; it is used once.
struct PermitReply {
    bool isGiven = false;

    MSGPACK_DEFINE(isGiven)
};

}
