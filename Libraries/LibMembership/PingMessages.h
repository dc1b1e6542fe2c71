#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Membership {

// A target that the sender has taken over while the table service was out of its reach.
struct TablelessClaim {
    Core::TargetId target;
    std::uint64_t fence = 0;

    MSGPACK_DEFINE(target, fence)
};

// Asks a host of the same zone for a sign of life, while the table service can't tell who is alive.
struct Ping {
    static constexpr auto Kind = Peer::MessageKind::Ping;

    std::vector<TablelessClaim> claims;

    MSGPACK_DEFINE(claims)
};

struct PingReply {
    std::vector<Core::HostId> heard; // Hosts that the replier has heard of directly within the silence limit.
    std::vector<TablelessClaim> claims;
    bool isLeaving = false;
    std::int64_t tableSilenceMilliseconds = 0;

    MSGPACK_DEFINE(heard, claims, isLeaving, tableSilenceMilliseconds)
};

// The sender has written the receiver into the ownership rows of these targets, and has stopped ordering them.
struct Handover {
    static constexpr auto Kind = Peer::MessageKind::Handover;

    std::vector<Core::TargetId> targets;

    MSGPACK_DEFINE(targets)
};

}
