#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Owner {

// A front asks a target's owner for a place to run one attempt. The front names the grant, so that a doubled
// request is recognised.
struct GrantRequest {
    static constexpr auto Kind = Peer::MessageKind::GrantRequest;

    Core::GrantId grant;
    Core::AdapterVersion adapter;
    std::string baseModel;
    Core::CustomerId customer;
    std::string traceparent; // The asker's span.
    std::int64_t timeoutMilliseconds = 0; // How long the answer may take.
    std::vector<Core::TargetId> avoid; // Targets that failed the asker lately; used when no other can serve.
    bool isSuspect = false; // A target died while it ran this request; no two such run on one target.

    MSGPACK_DEFINE(grant, adapter, baseModel, customer, traceparent, timeoutMilliseconds, avoid, isSuspect)
};

enum class GrantOutcome : std::uint8_t {
    Granted,
    // This host owns no target that could serve the request.
    NotOwner,
    // No slot became free in time.
    Overloaded,
    // The adapter could not be loaded.
    LoadFailed,
};

// The owner's answer. The adapter stays resident on the target until the front releases the grant.
struct GrantReply {
    GrantOutcome outcome = GrantOutcome::NotOwner;
    Core::GrantId grant;
    Core::TargetId target;
    std::string targetIncarnation;
    std::string reason;
    std::int64_t retryAfterMilliseconds = 0;

    MSGPACK_DEFINE(outcome, grant, target, targetIncarnation, reason, retryAfterMilliseconds)
};

// The front has finished with a grant, or no longer wants it.
struct GrantRelease {
    static constexpr auto Kind = Peer::MessageKind::GrantRelease;

    Core::GrantId grant;

    MSGPACK_DEFINE(grant)
};

}

MSGPACK_ADD_ENUM(Owner::GrantOutcome)
