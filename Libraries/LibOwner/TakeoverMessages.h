#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Owner {

// A target whose ownership the sender has gained.
struct GainedTarget {
    Core::TargetId target;
    std::uint64_t fence = 0;
    Core::HostId previousOwner; // Its grant replies to fronts may still be in transit.

    MSGPACK_DEFINE(target, fence, previousOwner)
};

// An owner asks a front which grants it holds on targets that the owner has gained, and which of the listed grants it
// still holds. A front that has restarted holds none.
struct GrantQuery {
    static constexpr auto Kind = Peer::MessageKind::GrantQuery;

    std::vector<GainedTarget> gained;
    std::vector<Core::GrantId> grants;

    MSGPACK_DEFINE(gained, grants)
};

// One grant that a front holds. The target is empty while the front waits for an owner's reply.
struct AnnouncedGrant {
    Core::GrantId grant;
    Core::TargetId target;
    Core::AdapterVersion adapter;

    MSGPACK_DEFINE(grant, target, adapter)
};

// The reply to GrantQuery.
struct GrantAnnouncement {
    std::vector<AnnouncedGrant> grants;
    // The gained targets that the replying host does not hold and on which none of its orders can take effect any more.
    std::vector<Core::TargetId> stopped;

    MSGPACK_DEFINE(grants, stopped)
};

}
