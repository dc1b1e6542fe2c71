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
    // A former incarnation of this host has ended.
    const bool hasFormerStopped = !gain.previousOwner.has_value() || *gain.previousOwner == m_leases.self().id;
    takeover = {.gain = gain, .beganAt = m_scheduler.now(), .hasFormerStopped = hasFormerStopped};
    takeover.unannounced.insert(m_leases.self().id);
    for (const auto &peer : m_leases.zonePeers()) {
        takeover.unannounced.insert(peer.id);
    }
    m_scheduler.runAfter({}, [this] {
        queryFronts();
    });
}

void TakeoverGuard::end(const Core::TargetId &target)
{
    m_takeovers.erase(target);
}

void TakeoverGuard::takeReport(const Core::TargetId &target, Core::TimePoint askedAt,
                               const std::set<Core::AdapterVersion> &busy)
{
    m_grants.takeReport(target, askedAt, busy);
    if (const auto found = m_takeovers.find(target); found != m_takeovers.end()) {
        found->second.reportAskedAt = askedAt;
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
    std::map<Core::HostId, std::vector<GainedTarget>> questions;
    for (auto &[target, takeover] : m_takeovers) {
        std::erase_if(takeover.unannounced, [this](const Core::HostId &front) {
            return m_directory.isHostGone(front.value);
        });
        const GainedTarget gained {.target = target,
                                   .fence = takeover.gain.fence,
                                   .former = takeover.gain.previousOwner.value_or(Core::HostId {})};
        for (const auto &front : takeover.unannounced) {
            questions[front].push_back(gained);
        }
        auto formers = m_ownership.unconfirmedPreviousHolders(target);
        if (takeover.gain.previousOwner.has_value() && !takeover.hasFormerStopped) {
            formers.push_back(*takeover.gain.previousOwner);
        }
        const std::set<Core::HostId> others(formers.begin(), formers.end());
        for (const auto &former : others) {
            if (!takeover.unannounced.contains(former)) {
                questions[former].push_back(gained);
            }
        }
    }
    for (const auto &[front, gained] : questions) {
        m_router.call<GrantAnnouncement>(
            front, GrantQuery {.gained = gained}, m_options.queryPeriod,
            [this, front = front, gained = gained](const std::optional<GrantAnnouncement> &announcement) {
                if (announcement.has_value()) {
                    takeAnnouncement(front, gained, *announcement);
                }
            });
    }
}

void TakeoverGuard::takeAnnouncement(const Core::HostId &front, const std::vector<GainedTarget> &gained,
                                     const GrantAnnouncement &announcement)
{
    for (const auto &[target, fence, former] : gained) {
        const auto found = m_takeovers.find(target);
        if (found == m_takeovers.end() || found->second.gain.fence != fence) {
            continue;
        }
        for (const auto &grant : announcement.grants) {
            if (grant.target == target || grant.target.isEmpty()) {
                m_grants.adopt(grant, target, front);
            }
        }
        found->second.unannounced.erase(front);
        const auto &stopped = announcement.stopped;
        if (std::find(stopped.begin(), stopped.end(), target) != stopped.end()) {
            found->second.hasFormerStopped
                = found->second.hasFormerStopped || found->second.gain.previousOwner == front;
            m_ownership.confirmStopped(target, front);
        }
    }
}

// Once every front has announced and the former owner has stopped, any report counts; otherwise one that was asked for
// after the former owner must have stopped.
bool TakeoverGuard::isIdle(const Takeover &takeover, const Core::AdapterVersion &adapter) const
{
    const bool isAnnounced = takeover.unannounced.empty() && takeover.hasFormerStopped;
    const auto from = takeover.beganAt + (isAnnounced ? Core::Duration::zero() : m_options.formerTerm);
    const bool isReported = takeover.reportAskedAt.has_value() && *takeover.reportAskedAt >= from;
    return isReported && !takeover.busy.contains(adapter);
}

}
