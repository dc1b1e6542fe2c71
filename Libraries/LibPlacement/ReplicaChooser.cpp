#include <LibPlacement/ReplicaChooser.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>
#include <numeric>

namespace Placement {

namespace {

// With fewer replicas the best of all is taken.
constexpr std::size_t FewestToSample = 12;
// A replica that fails about a third of its requests isn't one of the two.
constexpr auto LargePenalty = std::chrono::milliseconds(500);

}

ReplicaChooser::ReplicaChooser(ReplicaChooserOptions options)
    : m_options(std::move(options))
{
}

Core::Duration ReplicaChooser::furtherCopyCost(double demand) const
{
    return std::chrono::duration_cast<Core::Duration>(m_options.furtherCopy
                                                      / (1 + demand / m_options.furtherCopyDemand));
}

Core::Duration ReplicaChooser::cost(const Wanted &wanted, const Candidate &candidate, std::size_t rank,
                                    Core::Duration copyCost) const
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const Milliseconds reading(static_cast<double>(candidate.waitingTokens) / m_options.promptTokensPerMillisecond);
    auto cost = std::chrono::duration_cast<Core::Duration>(reading) + candidate.penalty
        + m_options.perActive * static_cast<int>(candidate.active) + m_options.perRank * static_cast<int>(rank);
    if (candidate.zone != m_options.ownZone) {
        cost += wanted.isStream ? m_options.otherZoneStream : m_options.otherZone;
    }
    if (candidate.slots > 0 && candidate.active >= candidate.slots) {
        cost += m_options.perQueued * static_cast<int>(candidate.active - candidate.slots + 1);
    }
    if (candidate.residency != Residency::Resident) {
        cost += m_options.load + candidate.loadDelay + copyCost + m_options.furtherHome * static_cast<int>(rank);
    }
    if (candidate.residency == Residency::Unloadable) {
        cost += m_options.unloadable;
    }
    if (candidate.isBlocked) {
        cost += m_options.blocked;
    }
    return cost;
}

std::vector<bool> ReplicaChooser::considered(std::string_view request, std::span<const Candidate> candidates) const
{
    std::vector<std::size_t> ready;
    std::vector<std::size_t> near;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (candidate.residency == Residency::Resident && !candidate.isBlocked && candidate.penalty < LargePenalty) {
            ready.push_back(i);
            if (candidate.zone == m_options.ownZone) {
                near.push_back(i);
            }
        }
    }
    std::vector<bool> isConsidered(candidates.size(), true);
    if (ready.size() < FewestToSample) {
        return isConsidered;
    }
    for (const auto index : ready) {
        isConsidered[index] = false;
    }
    const auto &first = near.empty() ? ready : near;
    isConsidered[first[Core::stableHash(request) % first.size()]] = true;
    isConsidered[ready[Core::stableHash(request, 1) % ready.size()]] = true;
    return isConsidered;
}

std::optional<std::size_t> ReplicaChooser::choose(const Wanted &wanted, std::span<const Candidate> candidates) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<std::size_t> ranks(candidates.size(), 0);
    if (!wanted.key.empty()) {
        // Only the order of the hashes matters, so the weights of the hashing are all alike.
        const auto keyHash = Core::stableHash(wanted.key);
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
    }
    const auto isConsidered = considered(wanted.request, candidates);
    const auto furtherCopy = furtherCopyCost(wanted.demand);
    const bool hasCopy = std::any_of(candidates.begin(), candidates.end(), [](const auto &candidate) {
        return candidate.residency == Residency::Resident && !candidate.isBlocked;
    });
    std::optional<std::size_t> best;
    Core::Duration lowest {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!isConsidered[i]) {
            continue;
        }
        const bool isFirstCopy = ranks[i] == 0 && !hasCopy;
        const auto expected = cost(wanted, candidates[i], ranks[i], isFirstCopy ? Core::Duration {} : furtherCopy);
        if (!best.has_value() || expected < lowest) {
            best = i;
            lowest = expected;
        }
    }
    return best;
}

}
