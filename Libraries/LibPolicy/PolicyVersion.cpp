#include <LibPolicy/PolicyVersion.h>

#include <algorithm>
#include <array>

namespace Policy {

namespace {

// An adapter that requests wait for is worth more than any that nobody waits for.
constexpr double WaitingValue = 1e6;

double seconds(Core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double leastRecentlyUsed(const EvictionCandidate &victim, Core::TimePoint /*now*/)
{
    return seconds(victim.lastUsed.time_since_epoch());
}

// Keeps what is asked for often and what requests wait for; a replica counts for its part of the requests.
double leastFrequent(const EvictionCandidate &victim, Core::TimePoint /*now*/)
{
    return (victim.rate + WaitingValue * static_cast<double>(victim.waiting)) / static_cast<double>(victim.copies);
}

double oldestFirst(const LoadCandidate &load)
{
    return seconds(load.age);
}

// A replica helps requests that would be served anyhow, so it comes after adapters that are nowhere.
double oldestFirstReplicasLast(const LoadCandidate &load)
{
    return load.isReplica ? -1 / (1 + seconds(load.age)) : seconds(load.age);
}

// The longest queue gives the fullest batch.
double longestQueue(const LoadCandidate &load)
{
    return static_cast<double>(load.waiting) + seconds(load.age) * 1e-3;
}

double firstByName(const PlacementCandidate &place)
{
    return static_cast<double>(place.rank);
}

double leastLoaded(const PlacementCandidate &place)
{
    return place.utilization - 1e-3 * static_cast<double>(place.freeSlots);
}

constexpr std::array Versions {
    PolicyVersion {
        .name = "naive", .victimValue = leastRecentlyUsed, .loadUrgency = oldestFirst, .placementCost = firstByName},
    PolicyVersion {.name = "frequency",
                   .victimValue = leastFrequent,
                   .loadUrgency = oldestFirst,
                   .placementCost = leastLoaded,
                   .isFair = true},
    PolicyVersion {.name = "frequency-spanning",
                   .victimValue = leastFrequent,
                   .loadUrgency = oldestFirst,
                   .placementCost = leastLoaded,
                   .isFair = true,
                   .homes = {.spansZones = true, .requestsPerHome = 0}},
    PolicyVersion {.name = "load-stalls",
                   .victimValue = leastFrequent,
                   .loadUrgency = oldestFirstReplicasLast,
                   .placementCost = leastLoaded,
                   .replicaQueueThreshold = 4,
                   .ageThreshold = std::chrono::seconds(5),
                   .isFair = true,
                   .homes = {.spansZones = true, .requestsPerHome = 0},
                   .shedsEarly = true},
    PolicyVersion {.name = "batch-efficiency",
                   .victimValue = leastFrequent,
                   .loadUrgency = longestQueue,
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
