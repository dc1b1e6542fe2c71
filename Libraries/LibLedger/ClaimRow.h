#pragma once

#include <LibCore/Identifier.h>
#include <LibLedger/CallResult.h>
#include <cstdint>
#include <string>

namespace Ledger {

// Names one call that must run at most once.
struct ClaimKey {
    std::string service;
    Core::CustomerId customer;
    std::string key; // The caller's Idempotency-Key.

    // The key of its row; different calls never share one.
    [[nodiscard]] std::string toRowKey() const;
};

enum class ClaimState {
    // The attempt may be sent, by the host that the row names alone.
    Claimed,
    // The attempt ran and its result is recorded. A row never leaves this state.
    Done,
    // The attempt has not run and never will; the call may be claimed again.
    Withdrawn,
};

// The row of one call in the table service. It is never deleted, so a claim that arrives late meets it.
struct ClaimRow {
    ClaimState state = ClaimState::Claimed;
    Core::AttemptId attempt;
    Core::HostId host; // The claimant.
    std::uint64_t incarnation = 0; // Of the claimant's process.
    Core::TargetId target; // The only target to which the attempt is sent.
    std::string fingerprint; // Of the request, to tell a repeat from another request with the same key.
    CallResult result;

    bool operator==(const ClaimRow &) const = default;
};

[[nodiscard]] std::string toText(const ClaimRow &row);
// Throws nlohmann::json::exception when the text isn't a row.
[[nodiscard]] ClaimRow claimRowFromText(const std::string &text);

}
