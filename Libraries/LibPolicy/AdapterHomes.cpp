#include <LibPolicy/AdapterHomes.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>
#include <map>

namespace Policy {

AdapterHomes::AdapterHomes(AdapterHomesOptions options)
    : m_options(options)
    , m_popularity({.longHalfLife = options.halfLife, .shortHalfLife = options.halfLife})
{
}

std::vector<Core::TargetId> AdapterHomes::rank(const Core::AdapterVersion &adapter,
                                               std::span<const HomeCandidate> candidates, const Core::ZoneId &ownZone,
                                               Core::TimePoint now)
{
    m_popularity.count(adapter, now);
    std::map<std::string, bool> isOwn;
    std::vector<Core::RendezvousCandidate> rendezvousCandidates;
    for (const auto &candidate : candidates) {
        isOwn[candidate.target.value] = candidate.zone == ownZone;
        rendezvousCandidates.push_back({.name = candidate.target.value});
    }
    auto ranked = Core::rankByRendezvous(adapter.toString(), rendezvousCandidates);
    const auto isInOwnZone = [&isOwn](const std::string &name) {
        return isOwn.at(name);
    };
    const auto ownZoneEnd
        = m_options.spansZones ? ranked.begin() : std::stable_partition(ranked.begin(), ranked.end(), isInOwnZone);
    const auto eligibleHomes
        = m_options.spansZones ? static_cast<std::ptrdiff_t>(ranked.size()) : ownZoneEnd - ranked.begin();
    std::ptrdiff_t homeCount = 1;
    if (m_options.requestsPerHome > 0) {
        homeCount += static_cast<std::ptrdiff_t>(m_popularity.rate(adapter, now) / m_options.requestsPerHome);
    }
    homeCount = std::min(homeCount, eligibleHomes);
    if (homeCount > 1) {
        std::rotate(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(m_rotation++) % homeCount,
                    ranked.begin() + homeCount);
    }
    std::stable_partition(ranked.begin() + homeCount, ranked.end(), isInOwnZone);
    std::vector<Core::TargetId> targets;
    for (auto &name : ranked) {
        targets.push_back({std::move(name)});
    }
    return targets;
}

}
