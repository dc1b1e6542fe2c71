#include <LibPolicy/PolicyVersion.h>

#include <algorithm>
#include <array>

namespace Policy {

namespace {

// A weight above any request rate, so that an adapter with waiting requests outranks every adapter without.
constexpr double WaitingRequestWeight = 1e6;

double seconds(Core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double leastRecentlyUsed(const EvictionCandidate &victim, Core::TimePoint /*now*/)
{
    return seconds(victim.lastUsed.time_since_epoch());
}

// Evicts the adapter with the lowest request rate, and one with waiting requests last. The value is divided among the
// replicas of an adapter.
double leastFrequentlyUsed(const EvictionCandidate &victim, Core::TimePoint /*now*/)
{
    return (victim.rate + WaitingRequestWeight * static_cast<double>(victim.waiting))
        / static_cast<double>(victim.copies);
}

double oldestFirst(const LoadCandidate &load)
{
    return seconds(load.age);
}

// Replicas come after adapters that are not resident, because the requests for a replica can be served without it.
double oldestFirstReplicasLast(const LoadCandidate &load)
{
    return load.isReplica ? -1 / (1 + seconds(load.age)) : seconds(load.age);
}

// The adapter with the most waiting requests fills a batch best; the age breaks ties.
double longestQueueFirst(const LoadCandidate &load)
{
    return static_cast<double>(load.waiting) + seconds(load.age) * 1e-3;
}

double firstByName(const PlacementCandidate &placement)
{
    return static_cast<double>(placement.rank);
}

double leastLoaded(const PlacementCandidate &placement)
{
    return placement.utilization - 1e-3 * static_cast<double>(placement.freeSlots);
}

constexpr std::array Versions {
    PolicyVersion {
        .name = "naive", .victimValue = leastRecentlyUsed, .loadUrgency = oldestFirst, .placementCost = firstByName},
    PolicyVersion {.name = "frequency",
                   .victimValue = leastFrequentlyUsed,
                   .loadUrgency = oldestFirst,
                   .placementCost = leastLoaded,
                   .isFair = true},
    PolicyVersion {.name = "frequency-spanning",
                   .victimValue = leastFrequentlyUsed,
                   .loadUrgency = oldestFirst,
                   .placementCost = leastLoaded,
                   .isFair = true,
                   .homes = {.spansZones = true, .requestsPerHome = 0}},
    PolicyVersion {.name = "load-stalls",
                   .victimValue = leastFrequentlyUsed,
                   .loadUrgency = oldestFirstReplicasLast,
                   .placementCost = leastLoaded,
                   .replicaQueueThreshold = 4,
                   .ageThreshold = std::chrono::seconds(5),
                   .isFair = true,
                   .homes = {.spansZones = true, .requestsPerHome = 0},
                   .shedsEarly = true},
    PolicyVersion {.name = "batch-efficiency",
                   .victimValue = leastFrequentlyUsed,
                   .loadUrgency = longestQueueFirst,
                   .placementCost = leastLoaded,
                   .replicaQueueThreshold = 4,
                   .ageThreshold = std::chrono::seconds(20),
                   .isFair = true,
                   .homes = {.spansZones = true, .requestsPerHome = 0.12},
                   .shedsEarly = true},
};

}

std::span<const PolicyVersion> policyVersions()
{
    return Versions;
}

const PolicyVersion *findPolicyVersion(std::string_view name)
{
    const auto found = std::find_if(Versions.begin(), Versions.end(), [name](const PolicyVersion &version) {
        return version.name == name;
    });
    return found == Versions.end() ? nullptr : &*found;
}

}
