#pragma once

#include <LibCore/Time.h>
#include <LibLedger/ClaimRow.h>
#include <LibLedger/FenceVerdict.h>
#include <string>

namespace Ledger {

// A wish to run a call that must run at most once.
struct ClaimRequest {
    ClaimKey key;
    std::string fingerprint;
    Core::TargetId target; // Where the attempt is to be sent.
    Core::TimePoint deadline {};
    FenceFunction fence; // Null when the service can't be asked.
};

enum class ClaimOutcome {
    // The attempt is claimed, and this host alone may send it.
    Held,
    // The call ran before; the result is recorded.
    Recorded,
    // The key was used for another request.
    OtherRequest,
    // Too much table work is outstanding; nothing was begun.
    Shed,
    // The table service could not be reached; nothing is sent, now or later.
    Unavailable,
    // An earlier attempt may have run or be running.
    Unknown,
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    Core::AttemptId attempt; // When held.
    CallResult result; // When recorded.
    std::string reason; // For people, otherwise.
};

}
