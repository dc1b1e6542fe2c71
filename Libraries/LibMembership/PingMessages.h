#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Membership {

// A target that the sender has taken over while it couldn't reach the table service.
struct TablelessClaim {
    Core::TargetId target;
    std::uint64_t fence = 0;

    MSGPACK_DEFINE(target, fence)
};

// Asks a host of the same zone whether it is alive, while the table service can't tell.
struct Ping {
    static constexpr auto Kind = Peer::MessageKind::Ping;

    std::vector<TablelessClaim> claims;

    MSGPACK_DEFINE(claims)
};

struct PingReply {
    std::vector<Core::HostId> reachableHosts; // Hosts that recently replied to pings of the replying host.
    std::vector<TablelessClaim> claims;
    bool isLeaving = false;
    std::int64_t millisecondsSinceTableResponse = 0;

    MSGPACK_DEFINE(reachableHosts, claims, isLeaving, millisecondsSinceTableResponse)
};

// The sender has written the receiver as owner into the ownership rows of these targets and no longer orders them.
struct Handover {
    static constexpr auto Kind = Peer::MessageKind::Handover;

    std::vector<Core::TargetId> targets;

    MSGPACK_DEFINE(targets)
};

}
