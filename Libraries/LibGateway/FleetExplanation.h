#pragma once

#include <LibPlacement/ReplicaChooser.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

// Why a listed replica of the service isn't among those to which a request may be sent.
enum class Exclusion : std::uint8_t {
    None,
    // It drains, or has said that it leaves.
    Leaving,
    ModelNotLoaded,
    Paused,
    // Its pause has just ended, and all its slots are in use.
    FullAfterPause,
    AtRequestLimit,
    // A plain service gets only a part of the requests at present, and this one isn't among them.
    NotAdmitted,
};

// What the choice of a replica for a request made of one listed replica.
struct ReplicaExplanation {
    Exclusion exclusion = Exclusion::None;
    Placement::Candidate state;
    std::optional<std::uint64_t> residentVersion; // Of the adapter; empty if a usable version isn't in memory.
    double usedRequestLimit = 0; // The part that is in use; zero without a limit.
    double usedReturnLimit = 0;
    bool isReturning = false; // It has returned and isn't known to serve as usual so far.
    bool hasReturnRoom = true;
    std::optional<Core::Duration> pauseLeft;
    double admissionShare = 1; // The part of the requests that this host sends to it.
    bool isAdmitted = true;
    std::optional<Placement::CandidateCost> cost; // No value for an excluded replica.
};

// How a replica is chosen for a request.
struct FleetExplanation {
    std::string adapter; // As "model/adapter"; empty if the request needs none.
    std::uint64_t newestVersion = 0; // Of the adapter; zero if none was released.
    std::vector<ReplicaExplanation> replicas; // All listed replicas of the service, sorted by ID.
    std::optional<std::size_t> choice; // Index of the chosen replica; empty if all are excluded.
    // Index of the replica with the lowest cost, if it isn't chosen because it is at its limit after its return.
    std::optional<std::size_t> passedOver;
};

}
