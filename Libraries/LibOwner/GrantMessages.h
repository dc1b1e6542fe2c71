#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Owner {

// How long after the request for a grant, or its last confirmation, a front may begin an attempt under it. Owners and
// their successors take an unresponsive front's grants for unused only after longer than this, so that a front that was
// suspended can't use a grant that has ended meanwhile.
inline constexpr auto GrantUseLimit = std::chrono::milliseconds(2000);

// A front asks a target's owner for a grant: the right to run one attempt on a target, which keeps the adapter resident
// there. The front chooses the grant's ID, so that the owner recognises a duplicated message.
struct GrantRequest {
    static constexpr auto Kind = Peer::MessageKind::GrantRequest;

    Core::GrantId grant;
    Core::AdapterVersion adapter;
    std::string baseModel;
    Core::CustomerId customer;
    std::string traceparent; // Span of the requesting front.
    std::int64_t timeoutMilliseconds = 0; // Time until the request's deadline.
    std::vector<Core::TargetId> avoid; // Targets that recently failed the front; used only if no other can serve.
    bool isSuspect = false; // A target died while it ran this request. A target runs one suspect at a time.

    MSGPACK_DEFINE(grant, adapter, baseModel, customer, traceparent, timeoutMilliseconds, avoid, isSuspect)
};

enum class GrantOutcome : std::uint8_t {
    Granted,
    // This host owns no target that could serve the request.
    NotOwner,
    // No slot became free before the deadline, or the owner's queue is too long.
    Overloaded,
    // The adapter could not be loaded.
    LoadFailed,
};

// The owner's reply. The adapter stays resident on the target until the front releases the grant.
struct GrantReply {
    GrantOutcome outcome = GrantOutcome::NotOwner;
    Core::GrantId grant;
    Core::TargetId target;
    std::string targetIncarnation;
    std::string reason;
    std::int64_t retryAfterMilliseconds = 0;
    std::uint64_t fence = 0; // Of the ownership under which the target was granted; zero if the owner didn't say.

    MSGPACK_DEFINE(outcome, grant, target, targetIncarnation, reason, retryAfterMilliseconds, fence)
};

// A front asks the owner whether a grant is still valid, before it begins an attempt later than GrantUseLimit.
struct GrantConfirmation {
    static constexpr auto Kind = Peer::MessageKind::GrantConfirmation;

    Core::GrantId grant;

    MSGPACK_DEFINE(grant)
};

struct GrantConfirmationReply {
    bool isValid = false; // The front may begin an attempt within GrantUseLimit, counted from before it asked.

    MSGPACK_DEFINE(isValid)
};

// The front has finished using a grant, or no longer needs it.
struct GrantRelease {
    static constexpr auto Kind = Peer::MessageKind::GrantRelease;

    Core::GrantId grant;

    MSGPACK_DEFINE(grant)
};

}

MSGPACK_ADD_ENUM(Owner::GrantOutcome)
