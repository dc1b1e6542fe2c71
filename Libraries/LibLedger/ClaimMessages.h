#pragma once

#include <LibCore/Identifier.h>
#include <LibLedger/CallResult.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Ledger {

// Asks a claimant what became of an attempt of its own.
struct ClaimQuery {
    static constexpr auto Kind = Peer::MessageKind::ClaimQuery;

    Core::AttemptId attempt;

    MSGPACK_DEFINE(attempt)
};

// A claimant's word on one attempt.
enum class ClaimWord {
    // Nothing is owed for it any more: the row says how it ended, though a lagging read may not show it yet.
    Settled,
    // It has not ended.
    InProgress,
    // It ended; the result follows.
    Finished,
    // It was never sent, or surely did not run, and never will.
    Abandoned,
    // It was sent, the answer was lost, and the service can't be asked.
    Unknown,
};

struct ClaimQueryReply {
    std::uint64_t incarnation = 0; // Of the process that answers. Another one knows nothing of the attempt.
    ClaimWord word = ClaimWord::Settled;
    CallResult result;

    MSGPACK_DEFINE(incarnation, word, result)
};

}

MSGPACK_ADD_ENUM(Ledger::ClaimWord);
