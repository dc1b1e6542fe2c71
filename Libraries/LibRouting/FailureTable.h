#pragma once

#include <cstdint>
#include <string_view>

namespace Routing {

// How one step towards an answer failed.
enum class Failure : std::uint8_t {
    // The owner asked owns no target that serves the base model.
    NotOwner,
    OwnerUnresponsive,
    Overloaded,
    LoadFailed,
    // The granted target is no longer listed.
    TargetGone,
    // The target refused before it ran anything.
    TargetRefused,
    // No byte of the request reached the target.
    TargetUnreachable,
    StreamBroken,
    // The stream's connection stayed without a byte for too long.
    StreamIdle,
    // The head names another adapter, version, attempt or incarnation.
    MismatchedHead,
    // The tokens or the end mark contradict each other or what was delivered.
    InconsistentStream,
    // No owner is left to ask.
    NoTarget,
    DeadlinePassed,
};

// Whether the failed step can have run the request on a target.
enum class RunClass : std::uint8_t { NotRun, MayHaveRun };

// What to do after a failure.
enum class NextStep : std::uint8_t {
    // Ask the next owner, those of other availability zones last.
    TryNextOwner,
    // Ask the next owner of the own availability zone, which spreads no overload to others.
    TryNextOwnerInZone,
    // Find out what became of the target, then resume there or under a new grant.
    Resume,
    // Ask for a new grant, which names the target as one to avoid.
    RequestNewGrant,
    GiveUp,
};

// What is known of one kind of failure.
struct FailureRule {
    Failure failure;
    RunClass runClass;
    NextStep next;
    unsigned status; // HTTP status should the request be given up.
    std::string_view code;
    std::string_view message;
};

[[nodiscard]] const FailureRule &ruleFor(Failure failure);

}
