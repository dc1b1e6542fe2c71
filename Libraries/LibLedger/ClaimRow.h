#pragma once

#include <LibCore/Identifier.h>
#include <LibLedger/CallResult.h>
#include <cstdint>
#include <string>

namespace Ledger {

// Identifies a call that must run at most once.
struct ClaimKey {
    std::string service;
    Core::CustomerId customer;
    std::string key; // The caller's Idempotency-Key.

    // The key of the call's row in the table. Different claim keys have different row keys.
    [[nodiscard]] std::string toRowKey() const;
};

enum class ClaimState {
    // The attempt may be sent, but only by the host that the row names.
    Claimed,
    // The attempt ran and its result is recorded. This state is final.
    Done,
    // The attempt has not run and never will. The call may be claimed again.
    Withdrawn,
};

// The row of one call in the table service. It is never deleted, so that a delayed write of a claim conflicts with it.
struct ClaimRow {
    ClaimState state = ClaimState::Claimed;
    Core::AttemptId attempt;
    Core::HostId host; // The claimant.
    std::uint64_t incarnation = 0; // The incarnation of the claimant's process.
    Core::TargetId target; // The only target to which the attempt is sent.
    std::string fingerprint; // Hash of the request; tells a retry from another request with the same key.
    CallResult result;

    bool operator==(const ClaimRow &) const = default;
};

[[nodiscard]] std::string toText(const ClaimRow &row);
// Throws nlohmann::json::exception if the text isn't a valid row.
[[nodiscard]] ClaimRow claimRowFromText(const std::string &text);

}
