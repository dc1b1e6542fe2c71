#include <LibPlacement/ReplicaChooser.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>
#include <numeric>

namespace Placement {

namespace {

// With fewer replicas, all of them are compared.
constexpr std::size_t MinReplicasToSample = 12;
// Excludes replicas that fail about a third of their requests from the sample.
constexpr auto MaxPenaltyToSample = std::chrono::milliseconds(500);
constexpr int SpreadSteps = 64;

}

ReplicaChooser::ReplicaChooser(ReplicaChooserOptions options)
    : m_options(std::move(options))
{
}

Core::Duration ReplicaChooser::additionalCopyCost(double demand) const
{
    return std::chrono::duration_cast<Core::Duration>(m_options.additionalCopyCost
                                                      / (1 + demand / m_options.additionalCopyDemand));
}

ReplicaCost ReplicaChooser::cost(const PlacementRequest &placement, const Candidate &candidate, std::size_t rank,
                                 Core::Duration copyCost) const
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const Milliseconds prefillTime(static_cast<double>(candidate.waitingTokens) / m_options.promptTokensPerMillisecond);
    const Milliseconds activeCost = m_options.costPerActive * static_cast<int>(candidate.active);
    ReplicaCost cost {
        .work = std::chrono::duration_cast<Core::Duration>((prefillTime + activeCost) / candidate.speed),
        .slowness = slownessCost(placement, candidate),
        .failures = candidate.penalty,
        .rank = m_options.costPerRank * static_cast<int>(rank),
    };
    if (candidate.zone != m_options.ownZone) {
        cost.zone = placement.isStream ? m_options.crossZoneStreamCost : m_options.crossZoneCost;
    }
    int queued = 0;
    if (candidate.slots > 0 && candidate.active >= candidate.slots) {
        queued = static_cast<int>(candidate.active - candidate.slots + 1);
    } else if (candidate.memoryTokens > 0 && candidate.usedTokens + placement.totalTokens > candidate.memoryTokens) {
        queued = 1;
    }
    cost.queue
        = std::chrono::duration_cast<Core::Duration>(Milliseconds(m_options.costPerQueued) * queued / candidate.speed);
    cost.crowding = crowdingCost(placement, candidate);
    cost.pause = pauseCost(placement, candidate);
    if (candidate.residency == Residency::Absent && candidate.isCached) {
        cost.load = m_options.cachedLoadCost + candidate.loadDelay;
    } else if (candidate.residency != Residency::Resident) {
        cost.load = m_options.loadCost + candidate.loadDelay + copyCost
            + m_options.additionalHomeCost * static_cast<int>(rank);
    }
    if (candidate.residency == Residency::Unloadable) {
        cost.unloadable = m_options.unloadableCost;
    }
    if (candidate.isBlocked) {
        cost.blocked = m_options.blockedCost;
    }
    return cost;
}

Core::Duration ReplicaChooser::slownessCost(const PlacementRequest &placement, const Candidate &candidate) const
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const Milliseconds prefillTime(static_cast<double>(placement.promptTokens) / m_options.promptTokensPerMillisecond);
    return std::chrono::duration_cast<Core::Duration>((prefillTime + candidate.usualResponse)
                                                      * (1 / candidate.speed - 1));
}

Core::Duration ReplicaChooser::pauseCost(const PlacementRequest &placement, const Candidate &candidate) const
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    if (placement.pauseLimit <= Core::Duration::zero()) {
        return {};
    }
    const auto prompts = static_cast<double>(candidate.waitingTokens + placement.promptTokens);
    const Milliseconds pause
        = candidate.eventTime + Milliseconds(prompts / m_options.promptTokensPerMillisecond / candidate.speed);
    const auto used = pause / Milliseconds(placement.pauseLimit);
    // Squared, since a pause that is only near the limit exceeds it only in the few stalls.
    const auto risk = std::clamp((used - m_options.safePausePart) / (1 - m_options.safePausePart), 0.0, 1.0);
    const auto streams = static_cast<double>(std::min(candidate.active, std::max(candidate.slots, 1U)));
    return std::chrono::duration_cast<Core::Duration>(Milliseconds(m_options.latePauseCost) * streams * risk * risk);
}

Core::Duration ReplicaChooser::crowdingCost(const PlacementRequest &placement, const Candidate &candidate) const
{
    const auto usedSlots = candidate.slots == 0 ? 0 : static_cast<double>(candidate.active) / candidate.slots;
    const auto usedMemory = candidate.memoryTokens == 0
        ? 0
        : static_cast<double>(candidate.usedTokens) / static_cast<double>(candidate.memoryTokens);
    const auto usedShare = std::max({usedSlots, usedMemory, candidate.usedLimit});
    const std::chrono::duration<double, std::milli> fullCost = m_options.fullCost;
    auto cost = fullCost * std::max(0.0, 2 * usedShare - 1);
    if (candidate.residency == Residency::Resident) {
        // An adapter that isn't in memory has a stable home, whatever the request.
        const auto step = Core::stableHash(placement.request, Core::stableHash(candidate.replica.value)) % SpreadSteps;
        cost += std::chrono::duration<double, std::milli>(m_options.spread) * usedShare * static_cast<double>(step)
            / SpreadSteps;
    }
    return std::chrono::duration_cast<Core::Duration>(cost);
}

std::vector<bool> ReplicaChooser::sampledReplicas(std::string_view request, std::span<const Candidate> candidates) const
{
    std::vector<std::size_t> ready;
    std::vector<std::size_t> readyInOwnZone;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (candidate.residency == Residency::Resident && !candidate.isBlocked
            && candidate.penalty < MaxPenaltyToSample) {
            ready.push_back(i);
            if (candidate.zone == m_options.ownZone) {
                readyInOwnZone.push_back(i);
            }
        }
    }
    std::vector<bool> isSampled(candidates.size(), true);
    if (ready.size() < MinReplicasToSample) {
        return isSampled;
    }
    for (const auto index : ready) {
        isSampled[index] = false;
    }
    const auto &preferred = readyInOwnZone.empty() ? ready : readyInOwnZone;
    isSampled[preferred[Core::stableHash(request) % preferred.size()]] = true;
    isSampled[ready[Core::stableHash(request, 1) % ready.size()]] = true;
    return isSampled;
}

std::vector<std::size_t> ReplicaChooser::ranksOf(std::string_view key, std::span<const Candidate> candidates)
{
    std::vector<std::size_t> ranks(candidates.size(), 0);
    if (key.empty()) {
        return ranks;
    }
    // All replicas have equal weight, so that the order of the hashes is sufficient.
    const auto keyHash = Core::stableHash(key);
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<std::uint64_t> scores(candidates.size());
    std::transform(candidates.begin(), candidates.end(), scores.begin(), [keyHash](const auto &candidate) {
        return Core::stableHash(candidate.home, keyHash);
    });
    std::sort(order.begin(), order.end(), [&scores](auto left, auto right) {
        return scores[left] > scores[right];
    });
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        ranks[order[rank]] = rank;
    }
    return ranks;
}

ReplicaChooser::Comparison ReplicaChooser::compare(const PlacementRequest &placement,
                                                   std::span<const Candidate> candidates) const
{
    return {.ranks = ranksOf(placement.key, candidates),
            .isSampled = sampledReplicas(placement.request, candidates),
            .copyCost = additionalCopyCost(placement.demand),
            .hasCopy = std::any_of(candidates.begin(), candidates.end(), [](const auto &candidate) {
                return candidate.residency == Residency::Resident && !candidate.isBlocked;
            })};
}

ReplicaCost ReplicaChooser::costOf(const PlacementRequest &placement, std::span<const Candidate> candidates,
                                   const Comparison &comparison, std::size_t index) const
{
    const auto rank = comparison.ranks[index];
    const bool isFirstCopy = rank == 0 && !comparison.hasCopy;
    return cost(placement, candidates[index], rank, isFirstCopy ? Core::Duration {} : comparison.copyCost);
}

std::optional<std::size_t> ReplicaChooser::choose(const PlacementRequest &placement,
                                                  std::span<const Candidate> candidates) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto comparison = compare(placement, candidates);
    std::optional<std::size_t> best;
    Core::Duration lowest {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!comparison.isSampled[i]) {
            continue;
        }
        const auto expected = costOf(placement, candidates, comparison, i).total();
        if (!best.has_value() || expected < lowest) {
            best = i;
            lowest = expected;
        }
    }
    return best;
}

std::vector<CandidateCost> ReplicaChooser::explain(const PlacementRequest &placement,
                                                   std::span<const Candidate> candidates) const
{
    const auto comparison = compare(placement, candidates);
    std::vector<CandidateCost> costs;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        costs.push_back({.isCompared = comparison.isSampled[i],
                         .rank = comparison.ranks[i],
                         .cost = costOf(placement, candidates, comparison, i)});
    }
    return costs;
}

}
