#include <LibOwner/HeldGrants.h>

#include <LibOwner/GrantMessages.h>
#include <algorithm>

namespace Owner {

HeldGrants::HeldGrants(Peer::PeerRouter &router, Membership::OwnershipView &ownership)
    : m_router(router)
    , m_ownership(ownership)
{
}

void HeldGrants::start()
{
    m_router.onCall<GrantQuery, GrantAnnouncement>([this](const Core::HostId &from, const GrantQuery &query,
                                                          const std::function<void(const GrantAnnouncement &)> &reply) {
        reply(announce(from, query));
    });
}

void HeldGrants::addPending(const Core::GrantId &grant, const Core::AdapterVersion &adapter, const Core::HostId &owner)
{
    m_grants[grant] = {.adapter = adapter, .owner = owner, .target = {}};
}

bool HeldGrants::markGranted(const Core::GrantId &grant, const Core::TargetId &target, std::uint64_t fence)
{
    const auto found = m_grants.find(grant);
    if (found == m_grants.end()) {
        return false;
    }
    const auto known = m_ownership.ownerOf(target);
    const bool isSuperseded = fence != 0 && known.has_value() && known->fence > fence;
    const auto announced = found->second.announced.find(target);
    if (isSuperseded && (announced == found->second.announced.end() || announced->second < known->fence)) {
        return false;
    }
    found->second.target = target;
    return true;
}

void HeldGrants::release(const Core::GrantId &grant)
{
    const auto found = m_grants.find(grant);
    if (found == m_grants.end()) {
        return;
    }
    const auto released = std::move(found->second);
    m_grants.erase(found);
    if (const auto ownership = m_ownership.ownerOf(released.target);
        ownership.has_value() && ownership->owner != released.owner) {
        m_router.send(ownership->owner, GrantRelease {.grant = grant});
    }
}

GrantAnnouncement HeldGrants::announce(const Core::HostId &from, const GrantQuery &query)
{
    GrantAnnouncement announcement;
    for (const auto &gained : query.gained) {
        m_ownership.recordOwnership({.target = gained.target, .owner = from, .fence = gained.fence});
        if (m_ownership.hasStopped(gained.target)) {
            announcement.stopped.push_back(gained.target);
        }
    }
    for (auto &[grant, held] : m_grants) {
        const auto &heldGrant = held;
        const bool isOnGained = std::any_of(query.gained.begin(), query.gained.end(), [&](const GainedTarget &gained) {
            return heldGrant.target.isEmpty() ? gained.previousOwner == heldGrant.owner
                                              : gained.target == heldGrant.target;
        });
        const bool isNamed = std::find(query.grants.begin(), query.grants.end(), grant) != query.grants.end();
        if (isOnGained || isNamed) {
            if (held.target.isEmpty() && !query.gained.empty()) {
                // The new owner adopts a pending grant for the first of its targets only.
                held.announced[query.gained.front().target] = query.gained.front().fence;
            }
            announcement.grants.push_back({.grant = grant, .target = held.target, .adapter = held.adapter});
        }
    }
    return announcement;
}

}
