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
    std::vector<Core::RendezvousCandidate> named;
    for (const auto &candidate : candidates) {
        isOwn[candidate.target.value] = candidate.zone == ownZone;
        named.push_back({.name = candidate.target.value});
    }
    auto ranked = Core::rankByRendezvous(adapter.toString(), named);
    const auto isOfOwnZone = [&isOwn](const std::string &name) {
        return isOwn.at(name);
    };
    const auto middle
        = m_options.spansZones ? ranked.begin() : std::stable_partition(ranked.begin(), ranked.end(), isOfOwnZone);
    const auto homeCount = m_options.spansZones ? static_cast<std::ptrdiff_t>(ranked.size()) : middle - ranked.begin();
    std::ptrdiff_t width = 1;
    if (m_options.requestsPerHome > 0) {
        width += static_cast<std::ptrdiff_t>(m_popularity.rate(adapter, now) / m_options.requestsPerHome);
    }
    width = std::min(width, homeCount);
    if (width > 1) {
        std::rotate(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(m_turn++) % width,
                    ranked.begin() + width);
    }
    std::stable_partition(ranked.begin() + width, ranked.end(), isOfOwnZone);
    std::vector<Core::TargetId> targets;
    for (auto &name : ranked) {
        targets.push_back({std::move(name)});
    }
    return targets;
}

}
