#pragma once

#include <cstdint>
#include <string_view>

namespace Routing {

// How one step of serving a request failed.
enum class Failure : std::uint8_t {
    // The host that was asked owns no target that serves the base model.
    NotOwner,
    // The owner did not reply to a probe while the request waited there for a grant.
    OwnerUnresponsive,
    Overloaded,
    LoadFailed,
    // The granted target is no longer listed.
    TargetGone,
    // The target refused the request before it ran any of it.
    TargetRefused,
    // The connection failed before any byte of the request reached the target.
    TargetUnreachable,
    StreamBroken,
    // No byte arrived on the stream's connection within the idle timeout.
    StreamIdle,
    // The response head names another adapter, version, attempt or incarnation than was requested.
    MismatchedHead,
    // The tokens or the end marker contradict each other or what the caller has already received.
    InconsistentStream,
    // No further owner can be asked.
    NoTarget,
    DeadlinePassed,
};

// Whether a target may have run the request before the step failed.
enum class RunClass : std::uint8_t { NotRun, MayHaveRun };

// The recovery action for a failure.
enum class NextStep : std::uint8_t {
    // Ask the next owner for a grant, owners in other availability zones last.
    TryNextOwner,
    // Ask the next owner in this availability zone for a grant, so that overload does not spread to other zones.
    TryNextOwnerInZone,
    // Query the target's status, then resume the stream there or under a new grant.
    Resume,
    // Request a new grant that avoids the failed target.
    RequestNewGrant,
    GiveUp,
};

// How to handle one kind of failure.
struct FailureRule {
    Failure failure;
    RunClass runClass;
    NextStep next;
    unsigned status; // HTTP status of the response if the request is given up.
    std::string_view code;
    std::string_view message;
};

[[nodiscard]] const FailureRule &ruleFor(Failure failure);

}
