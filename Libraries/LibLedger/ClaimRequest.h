#pragma once

#include <LibCore/Time.h>
#include <LibLedger/ClaimRow.h>
#include <LibLedger/FenceVerdict.h>
#include <string>

namespace Ledger {

// A request to claim a call that must run at most once.
struct ClaimRequest {
    ClaimKey key;
    std::string fingerprint;
    Core::TargetId target; // Where the attempt is to be sent.
    Core::TimePoint deadline {};
    FenceFunction fence; // Null if the service doesn't support fencing.
};

enum class ClaimOutcome {
    // The attempt is claimed, and only this host may send it.
    Held,
    // The call ran earlier, and its result is recorded.
    Recorded,
    // The key was already used for another request.
    KeyReused,
    // Too many table writes are outstanding. Nothing was started.
    Shed,
    // The table service could not be reached. The attempt will never be sent.
    Unavailable,
    // An earlier attempt may have run or may be running.
    Unknown,
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    Core::AttemptId attempt; // Valid for Held.
    CallResult result; // Valid for Recorded.
    std::string reason; // Human-readable; set for all other outcomes.
};

}
