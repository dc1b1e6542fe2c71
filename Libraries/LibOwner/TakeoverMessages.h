#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Owner {

// A target that the sender has become the owner of.
struct GainedTarget {
    Core::TargetId target;
    std::uint64_t fence = 0;
    Core::HostId former; // The owner before, whose answers to fronts may still be on their way.

    MSGPACK_DEFINE(target, fence, former)
};

// An owner asks a front which grants it holds on targets that the owner has gained, and which of the named grants it
// still wants. A front that has lost its memory answers that it holds none.
struct GrantQuery {
    static constexpr auto Kind = Peer::MessageKind::GrantQuery;

    std::vector<GainedTarget> gained;
    std::vector<Core::GrantId> grants;

    MSGPACK_DEFINE(gained, grants)
};

// One grant that a front holds. The target is empty while the front waits for an owner's answer.
struct AnnouncedGrant {
    Core::GrantId grant;
    Core::TargetId target;
    Core::AdapterVersion adapter;

    MSGPACK_DEFINE(grant, target, adapter)
};

struct GrantAnnouncement {
    std::vector<AnnouncedGrant> grants;
    // The gained targets that the replying host doesn't hold, and where no order of its own can take effect any more.
    std::vector<Core::TargetId> stopped;

    MSGPACK_DEFINE(grants, stopped)
};

}
