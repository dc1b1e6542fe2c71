#pragma once

#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Owner {

// A host that waits to load adapters requests a permit from another host. A permit allows one load from the weight
// store.
struct PermitRequest {
    static constexpr auto Kind = Peer::MessageKind::PermitRequest;

    std::uint32_t waitingAdapters = 0; // Adapters that the requesting host could load now.

    MSGPACK_DEFINE(waitingAdapters)
};

// The reply. A granted permit has been removed from the replying host's budget and allows one load.
struct PermitReply {
    bool isGranted = false;

    MSGPACK_DEFINE(isGranted)
};

}
