#pragma once

#include <LibCore/Identifier.h>
#include <LibLedger/CallResult.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Ledger {

// Asks a claimant (the host that claimed an attempt) for the attempt's status.
struct ClaimQuery {
    static constexpr auto Kind = Peer::MessageKind::ClaimQuery;

    Core::AttemptId attempt;

    MSGPACK_DEFINE(attempt)
};

// The status of an attempt, as its claimant reports it.
enum class ClaimStatus {
    // The claimant has nothing left to do for it. The row holds the outcome, but a stale read may not show it yet.
    Resolved,
    // The attempt has not ended.
    InProgress,
    // The attempt has ended, and the reply contains its result.
    Finished,
    // The attempt was never sent or is known not to have run, and it will never run.
    Abandoned,
    // The attempt was sent, its response was lost, and the service can't be asked about it.
    Unknown,
};

struct ClaimQueryReply {
    std::uint64_t incarnation = 0; // Identifies the replying process; a restarted one doesn't know the attempt.
    ClaimStatus status = ClaimStatus::Resolved;
    CallResult result;

    MSGPACK_DEFINE(incarnation, status, result)
};

}

MSGPACK_ADD_ENUM(Ledger::ClaimStatus);
