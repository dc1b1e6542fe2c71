#include <LibOwner/TakeoverGuard.h>

#include <algorithm>

namespace Owner {

TakeoverGuard::TakeoverGuard(Core::Scheduler &scheduler, Peer::PeerRouter &router, Membership::OwnershipView &ownership,
                             const Membership::HostLeases &leases, const Platform::TargetDirectory &directory,
                             IssuedGrants &grants, TakeoverGuardOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_ownership(ownership)
    , m_leases(leases)
    , m_directory(directory)
    , m_grants(grants)
    , m_options(options)
{
}

void TakeoverGuard::start()
{
    queryFronts();
    m_scheduler.runAfter(m_options.queryPeriod, [this] {
        start();
    });
}

void TakeoverGuard::begin(const Membership::OwnershipGain &gain)
{
    auto &takeover = m_takeovers[gain.target];
    // If this host was the previous owner, that incarnation of it has ended.
    const bool hasPreviousOwnerStopped = !gain.previousOwner.has_value() || *gain.previousOwner == m_leases.self().id;
    takeover = {.gain = gain, .beganAt = m_scheduler.now(), .hasPreviousOwnerStopped = hasPreviousOwnerStopped};
    takeover.pendingFronts.insert(m_leases.self().id);
    for (const auto &peer : m_leases.zonePeers()) {
        takeover.pendingFronts.insert(peer.id);
    }
    m_scheduler.runAfter({}, [this] {
        queryFronts();
    });
}

void TakeoverGuard::end(const Core::TargetId &target)
{
    m_takeovers.erase(target);
}

void TakeoverGuard::recordReport(const Core::TargetId &target, Core::TimePoint requestedAt,
                                 const std::set<Core::AdapterVersion> &busy)
{
    m_grants.recordReport(target, requestedAt, busy);
    if (const auto found = m_takeovers.find(target); found != m_takeovers.end()) {
        found->second.reportRequestedAt = requestedAt;
        found->second.busy = busy;
    }
}

bool TakeoverGuard::mayUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    if (!m_ownership.unconfirmedPreviousHolders(target).empty() || m_grants.isAdopted(target, adapter)) {
        return false;
    }
    if (const auto takeover = m_takeovers.find(target);
        takeover != m_takeovers.end() && !isIdle(takeover->second, adapter)) {
        return false;
    }
    if (!m_ownership.isUnloadSafe(target, adapter)) {
        m_ownership.requestEvictionPermission(target, adapter);
        return false;
    }
    return true;
}

bool TakeoverGuard::mayPlace(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    return !m_ownership.mayStillBeEvicted(target, adapter);
}

void TakeoverGuard::queryFronts()
{
    std::map<Core::HostId, std::vector<GainedTarget>> queries;
    for (auto &[target, takeover] : m_takeovers) {
        std::erase_if(takeover.pendingFronts, [this](const Core::HostId &front) {
            return m_directory.isHostGone(front.value);
        });
        const GainedTarget gained {.target = target,
                                   .fence = takeover.gain.fence,
                                   .previousOwner = takeover.gain.previousOwner.value_or(Core::HostId {})};
        for (const auto &front : takeover.pendingFronts) {
            queries[front].push_back(gained);
        }
        auto previousHolders = m_ownership.unconfirmedPreviousHolders(target);
        if (takeover.gain.previousOwner.has_value() && !takeover.hasPreviousOwnerStopped) {
            previousHolders.push_back(*takeover.gain.previousOwner);
        }
        const std::set<Core::HostId> others(previousHolders.begin(), previousHolders.end());
        for (const auto &holder : others) {
            if (!takeover.pendingFronts.contains(holder)) {
                queries[holder].push_back(gained);
            }
        }
    }
    for (const auto &[front, gained] : queries) {
        m_router.call<GrantAnnouncement>(
            front, GrantQuery {.gained = gained}, m_options.queryPeriod,
            [this, front = front, gained = gained](const std::optional<GrantAnnouncement> &announcement) {
                if (announcement.has_value()) {
                    handleAnnouncement(front, gained, *announcement);
                }
            });
    }
}

void TakeoverGuard::handleAnnouncement(const Core::HostId &front, const std::vector<GainedTarget> &gained,
                                       const GrantAnnouncement &announcement)
{
    for (const auto &[target, fence, previousOwner] : gained) {
        const auto found = m_takeovers.find(target);
        if (found == m_takeovers.end() || found->second.gain.fence != fence) {
            continue;
        }
        for (const auto &grant : announcement.grants) {
            if (grant.target == target || grant.target.isEmpty()) {
                m_grants.adopt(grant, target, front);
            }
        }
        found->second.pendingFronts.erase(front);
        const auto &stopped = announcement.stopped;
        if (std::find(stopped.begin(), stopped.end(), target) != stopped.end()) {
            found->second.hasPreviousOwnerStopped
                = found->second.hasPreviousOwnerStopped || found->second.gain.previousOwner == front;
            m_ownership.confirmStopped(target, front);
        }
    }
}

// Any report since the takeover is sufficient once every front has announced its grants and the previous owner has
// confirmed that it stopped. Otherwise the report must have been requested after previousOwnerTimeout.
bool TakeoverGuard::isIdle(const Takeover &takeover, const Core::AdapterVersion &adapter) const
{
    const bool isAnnounced = takeover.pendingFronts.empty() && takeover.hasPreviousOwnerStopped;
    const auto from = takeover.beganAt + (isAnnounced ? Core::Duration::zero() : m_options.previousOwnerTimeout);
    const bool isReported = takeover.reportRequestedAt.has_value() && *takeover.reportRequestedAt >= from;
    return isReported && !takeover.busy.contains(adapter);
}

}
