#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Routing {

// Asks whether a host still answers.
struct OwnerProbe {
    static constexpr auto Kind = Peer::MessageKind::OwnerProbe;

    std::uint8_t version = 1;

    MSGPACK_DEFINE(version)
};

// A host's word that it answers.
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

enum class PassOn : std::uint8_t {
    No,
    // To the other hosts of the receiver's availability zone.
    ToZone,
};

// What a host has seen of a request that may crash its targets. Without deaths the request is cleared.
struct QuarantineNotice {
    static constexpr auto Kind = Peer::MessageKind::QuarantineNotice;

    std::uint64_t fingerprint = 0;
    std::vector<TargetDeath> deaths;
    PassOn passOn = PassOn::No;

    MSGPACK_DEFINE(fingerprint, deaths, passOn)
};

}

MSGPACK_ADD_ENUM(Routing::PassOn)
