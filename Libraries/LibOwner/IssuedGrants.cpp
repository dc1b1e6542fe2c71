#include <LibOwner/IssuedGrants.h>

#include <algorithm>

namespace Owner {

namespace {

constexpr auto QueryTimeout = std::chrono::milliseconds(1000);

}

IssuedGrants::IssuedGrants(Core::Scheduler &scheduler, Peer::PeerRouter &router, const Membership::HostLeases &leases,
                           const Platform::TargetDirectory &directory, IssuedGrantsOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_leases(leases)
    , m_directory(directory)
    , m_options(options)
{
}

void IssuedGrants::start(ReleaseFunction release)
{
    m_release = std::move(release);
    queryFronts();
}

bool IssuedGrants::admit(const Core::GrantId &grant, const Core::HostId &front)
{
    if (m_released.contains(grant)) {
        return false;
    }
    return m_issued.try_emplace(grant, IssuedGrant {.front = front, .admittedAt = m_scheduler.now()}).second;
}

void IssuedGrants::markGranted(const Core::GrantId &grant, const Core::TargetId &target,
                               const Core::AdapterVersion &adapter)
{
    auto &issued = m_issued[grant];
    issued.target = target;
    issued.adapter = adapter;
}

void IssuedGrants::adopt(const AnnouncedGrant &announced, const Core::TargetId &target, const Core::HostId &front)
{
    if (m_released.contains(announced.grant)) {
        return;
    }
    m_issued.try_emplace(announced.grant,
                         IssuedGrant {.front = front,
                                      .target = target,
                                      .adapter = announced.adapter,
                                      .admittedAt = m_scheduler.now(),
                                      .isAdopted = true});
}

std::optional<Core::TargetId> IssuedGrants::confirm(const Core::GrantId &grant)
{
    const auto found = m_issued.find(grant);
    if (found == m_issued.end() || found->second.target.isEmpty()) {
        return std::nullopt;
    }
    found->second.admittedAt = m_scheduler.now();
    found->second.endedAt.reset();
    return found->second.target;
}

void IssuedGrants::release(const Core::GrantId &grant)
{
    m_issued.erase(grant);
    if (!m_released.insert(grant).second) {
        return;
    }
    m_releasedInOrder.push_back(grant);
    if (m_releasedInOrder.size() > m_options.maxReleased) {
        m_released.erase(m_releasedInOrder.front());
        m_releasedInOrder.pop_front();
    }
}

void IssuedGrants::removeTarget(const Core::TargetId &target)
{
    std::erase_if(m_issued, [&](const auto &entry) {
        return entry.second.target == target;
    });
    m_reports.erase(target);
}

void IssuedGrants::recordReport(const Core::TargetId &target, Core::TimePoint requestedAt,
                                std::set<Core::AdapterVersion> busy)
{
    m_reports[target] = {.requestedAt = requestedAt, .busy = std::move(busy)};
}

bool IssuedGrants::isAdopted(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    return std::any_of(m_issued.begin(), m_issued.end(), [&](const auto &entry) {
        return entry.second.isAdopted && entry.second.target == target && entry.second.adapter == adapter;
    });
}

std::size_t IssuedGrants::count() const
{
    return m_issued.size();
}

void IssuedGrants::queryFronts()
{
    const auto now = m_scheduler.now();
    std::map<Core::HostId, std::vector<Core::GrantId>> aged;
    for (auto &[grant, issued] : m_issued) {
        if (now - issued.admittedAt < m_options.queryAge || issued.endedAt.has_value()) {
            continue;
        }
        if (isFrontGone(issued)) {
            issued.endedAt = now;
        } else {
            aged[issued.front].push_back(grant);
        }
    }
    releaseEnded();
    for (auto &[front, grants] : aged) {
        queryFront(front, std::move(grants));
    }
    m_scheduler.runAfter(m_options.queryPeriod, [this] {
        queryFronts();
    });
}

void IssuedGrants::releaseEnded()
{
    std::vector<Core::GrantId> ended;
    for (const auto &[grant, issued] : m_issued) {
        if (issued.endedAt.has_value() && isIdleSinceEnd(issued)) {
            ended.push_back(grant);
        }
    }
    for (const auto &grant : ended) {
        m_release(grant);
    }
}

void IssuedGrants::queryFront(const Core::HostId &front, std::vector<Core::GrantId> grants)
{
    const GrantQuery query {.grants = grants};
    m_router.call<GrantAnnouncement>(
        front, query, QueryTimeout,
        [this, grants = std::move(grants)](const std::optional<GrantAnnouncement> &announcement) {
            if (!announcement.has_value()) {
                return;
            }
            for (const auto &grant : grants) {
                const auto &held = announcement->grants;
                const bool isHeld = std::any_of(held.begin(), held.end(), [&](const AnnouncedGrant &announced) {
                    return announced.grant == grant;
                });
                if (const auto issued = m_issued.find(grant); !isHeld && issued != m_issued.end()) {
                    issued->second.endedAt = m_scheduler.now();
                }
            }
            releaseEnded();
        });
}

bool IssuedGrants::isFrontGone(const IssuedGrant &issued) const
{
    return m_directory.isHostGone(issued.front.value) || m_leases.isReleased(issued.front)
        || m_leases.isExpired(issued.front);
}

bool IssuedGrants::isIdleSinceEnd(const IssuedGrant &issued) const
{
    if (issued.target.isEmpty()) {
        return true;
    }
    const auto report = m_reports.find(issued.target);
    return report != m_reports.end() && report->second.requestedAt > *issued.endedAt
        && !report->second.busy.contains(issued.adapter);
}

}
