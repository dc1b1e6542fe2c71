#include <LibMembership/HashedOwnership.h>

#include <LibCore/Rendezvous.h>

namespace Membership {

HashedOwnership::HashedOwnership(const HostLeases &leases, const Platform::TargetDirectory &directory)
    : m_leases(leases)
    , m_directory(directory)
{
}

std::optional<Ownership> HashedOwnership::ownerOf(const Core::TargetId &target) const
{
    const auto *known = m_directory.find(target);
    if (known == nullptr) {
        return std::nullopt;
    }
    std::vector<Core::RendezvousCandidate> candidates;
    for (const auto &host : m_leases.liveHosts()) {
        if (host.zone == known->zone && !host.isLeaving) {
            candidates.push_back({.name = host.id.value});
        }
    }
    const auto ranked = Core::rankByRendezvous(target.value, candidates);
    if (ranked.empty()) {
        return std::nullopt;
    }
    return Ownership {.target = target, .owner = {ranked.front()}, .fence = 1};
}

std::vector<Ownership> HashedOwnership::owned() const
{
    std::vector<Ownership> mine;
    for (const auto &[id, target] : m_directory.all()) {
        if (target.kind != Platform::MachineKind::Engine) {
            continue;
        }
        if (const auto ownership = ownerOf(id); ownership.has_value() && ownership->owner == m_leases.self().id) {
            mine.push_back(*ownership);
        }
    }
    return mine;
}

}
