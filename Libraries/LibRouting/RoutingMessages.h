#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Routing {

// Asks whether a host is responsive.
struct OwnerProbe {
    static constexpr auto Kind = Peer::MessageKind::OwnerProbe;

    std::uint8_t version = 1;

    MSGPACK_DEFINE(version)
};

// Confirms that the replying host is responsive.
struct OwnerProbeReply {
    std::uint8_t version = 1;

    MSGPACK_DEFINE(version)
};

// One incarnation of a target that ended while a request ran on it.
struct TargetDeath {
    Core::TargetId target;
    std::string incarnation;

    auto operator<=>(const TargetDeath &) const = default;

    MSGPACK_DEFINE(target, incarnation)
};

// Whether the receiver of a notice forwards it.
enum class Forwarding : std::uint8_t {
    None,
    // The receiver forwards it to the other hosts in its availability zone.
    ToZone,
};

// Reports target deaths during a request that may have caused them. A notice without deaths clears what a request that
// has run to completion disproves.
struct QuarantineNotice {
    static constexpr auto Kind = Peer::MessageKind::QuarantineNotice;

    std::uint64_t fingerprint = 0;
    std::vector<TargetDeath> deaths;
    Forwarding forwarding = Forwarding::None;
    // All fingerprints of the request, in ascending order; empty if it has just the one.
    std::vector<std::uint64_t> companions;
    std::uint64_t ageMilliseconds = 0; // Of the last death.

    MSGPACK_DEFINE(fingerprint, deaths, forwarding, companions, ageMilliseconds)
};

}

MSGPACK_ADD_ENUM(Routing::Forwarding)
