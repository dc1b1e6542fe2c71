#pragma once

#include <LibPolicy/AdapterHomes.h>
#include <span>
#include <string_view>

namespace Policy {

// A resident adapter that could be evicted: it is ready and no grant uses it.
struct EvictionCandidate {
    Core::AdapterVersion adapter;
    Core::TargetId target;
    std::size_t waiting = 0; // Requests that wait for it.
    std::size_t copies = 1; // Targets of this owner that hold it.
    double rate = 0; // Requests a second, see Popularity.
    Core::TimePoint lastUsed {};
    std::size_t targetRank = 0; // The target's place in the order of names.
    double targetUtilization = 0; // Running requests over batch capacity.
};

// An adapter that requests wait for and that could be loaded.
struct LoadCandidate {
    Core::AdapterVersion adapter;
    std::size_t waiting = 0;
    Core::Duration age {}; // Of the oldest request that waits.
    bool isReplica = false; // Another target of this owner holds it already.
};

// How a target with a free slot looks to a placement.
struct PlacementCandidate {
    Core::TargetId target;
    std::size_t rank = 0; // In the order of names.
    double utilization = 0; // Running requests over batch capacity.
    std::size_t freeSlots = 0;
};

// One version of the policy under load. Its decisions are orders over plain views; ties go to what comes first.
struct PolicyVersion {
    std::string_view name;
    // The victim with the lowest value goes.
    double (*victimValue)(const EvictionCandidate &victim, Core::TimePoint now);
    // The adapter with the highest urgency is loaded next.
    double (*loadUrgency)(const LoadCandidate &load);
    // The place with the lowest cost takes a load that needs no eviction, and a request whose adapter it holds.
    double (*placementCost)(const PlacementCandidate &place);
    // Requests that must wait beside full replicas before another replica is loaded; zero for never.
    std::size_t replicaQueueThreshold = 0;
    // A load that has waited for so long goes first, and a slot is drained for it; zero for never.
    Core::Duration ageThreshold {};
    // Shares of customers are kept equal among requests that could run.
    bool isFair = false;
    // Which targets the fronts ask for an adapter.
    AdapterHomesOptions homes {.spansZones = false, .requestsPerHome = 0};
    // A request is refused at once when its adapter can't be loaded before its deadline.
    bool shedsEarly = false;
};

// Every version, the naive one first.
[[nodiscard]] std::span<const PolicyVersion> policyVersions();
// The version of that name, or null.
[[nodiscard]] const PolicyVersion *findPolicyVersion(std::string_view name);

}
