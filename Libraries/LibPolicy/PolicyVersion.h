#pragma once

#include <LibPolicy/AdapterHomes.h>
#include <span>
#include <string_view>

namespace Policy {

// A ready adapter as a candidate for eviction.
struct EvictionCandidate {
    Core::AdapterVersion adapter;
    Core::TargetId target;
    std::size_t waiting = 0; // Requests waiting for the adapter.
    std::size_t copies = 1; // Targets of this owner that hold it.
    double rate = 0; // Requests per second, see Popularity.
    Core::TimePoint lastUsed {};
    std::size_t targetRank = 0; // Position of the target among this owner's targets sorted by name.
    double targetUtilization = 0; // Running requests divided by batch capacity.
};

// An adapter with waiting requests as a candidate for loading.
struct LoadCandidate {
    Core::AdapterVersion adapter;
    std::size_t waiting = 0;
    Core::Duration age {}; // Waiting time of its oldest request.
    bool isReplica = false; // It is already resident on another target of this owner.
};

// A target as a candidate for running a request or loading an adapter.
struct PlacementCandidate {
    Core::TargetId target;
    std::size_t rank = 0; // Position among this owner's targets sorted by name.
    double utilization = 0; // Running requests divided by batch capacity.
    std::size_t freeSlots = 0;
};

// One version of the scheduling policy. It decides by ranking candidates; of equals, the first one is chosen.
struct PolicyVersion {
    std::string_view name;
    // The victim with the lowest value is evicted.
    double (*victimValue)(const EvictionCandidate &victim, Core::TimePoint now);
    // The adapter with the highest urgency is loaded next.
    double (*loadUrgency)(const LoadCandidate &load);
    // The target with the lowest cost is chosen for a load into a free slot, and for a request among the targets that
    // hold its adapter.
    double (*placementCost)(const PlacementCandidate &placement);
    // Requests that must wait while all replicas are full before another replica is loaded; zero loads no replicas.
    std::size_t replicaQueueThreshold = 0;
    // A load that has waited this long takes precedence, and a slot is drained for it; zero disables this.
    Core::Duration ageThreshold {};
    // Requests that can run are granted so that customers get equal shares.
    bool isFair = false;
    // How the fronts choose an adapter's homes.
    AdapterHomesOptions homes {.spansZones = false, .requestsPerHome = 0};
    // A request is refused immediately if its adapter is not expected to be loaded before the request's deadline.
    bool shedsEarly = false;
};

// Returns all versions, the naive one first.
[[nodiscard]] std::span<const PolicyVersion> policyVersions();
// Returns the version with that name, or null.
[[nodiscard]] const PolicyVersion *findPolicyVersion(std::string_view name);

}
