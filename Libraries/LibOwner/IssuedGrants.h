#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/HostLeases.h>
#include <LibOwner/TakeoverMessages.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace Owner {

struct IssuedGrantsOptions {
    Core::Duration queryPeriod = std::chrono::milliseconds(5000);
    // A grant older than this is asked after at the front that holds it.
    Core::Duration queryAge = std::chrono::milliseconds(20000);
    std::size_t mostReleased = 10000; // Grants whose release is remembered.
};

// Which front holds each grant that this host has given, or has taken over with a target. A grant ends by evidence and
// never by time alone: its front's release; or its front's word that it doesn't hold it, or the front being gone, and a
// report of the target that was asked for later and shows the adapter idle. Without that report, a request that the
// front's earlier process sent could begin to run later.
class IssuedGrants
{
public:
    using ReleaseFunction = std::function<void(const Core::GrantId &)>;

    IssuedGrants(Core::Scheduler &scheduler, Peer::PeerRouter &router, const Membership::HostLeases &leases,
                 const Platform::TargetDirectory &directory, IssuedGrantsOptions options);

    // The function runs for each grant whose front was shown not to hold it; it ends it as by a release.
    void start(ReleaseFunction release);
    // Says whether a request for a grant is to be served. One that came before, or whose release came first, is not.
    [[nodiscard]] bool admit(const Core::GrantId &grant, const Core::HostId &front);
    void grant(const Core::GrantId &grant, const Core::TargetId &target, const Core::AdapterVersion &adapter);
    // Takes over a grant that another owner has given.
    void adopt(const AnnouncedGrant &announced, const Core::TargetId &target, const Core::HostId &front);
    // Forgets a grant and remembers that it has ended.
    void release(const Core::GrantId &grant);
    // The host has lost the target.
    void dropTarget(const Core::TargetId &target);
    // Adapters on which the target runs requests, by a report that was asked for at the given time.
    void takeReport(const Core::TargetId &target, Core::TimePoint askedAt, std::set<Core::AdapterVersion> busy);
    // True while a grant that was taken over keeps the adapter resident.
    [[nodiscard]] bool isAdopted(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;
    [[nodiscard]] std::size_t count() const;

private:
    struct Issued {
        Core::HostId front;
        Core::TargetId target; // Empty while the request waits.
        Core::AdapterVersion adapter;
        Core::TimePoint since {};
        bool isAdopted = false;
        std::optional<Core::TimePoint> endedAt; // When the front was first known not to hold it.
    };
    struct Report {
        Core::TimePoint askedAt {};
        std::set<Core::AdapterVersion> busy;
    };

    void queryFronts();
    void queryFront(const Core::HostId &front, std::vector<Core::GrantId> grants);
    [[nodiscard]] bool isFrontGone(const Issued &issued) const;
    // Nothing runs under a grant that its front doesn't hold.
    [[nodiscard]] bool isIdleSinceEnd(const Issued &issued) const;
    void releaseEnded();

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const Membership::HostLeases &m_leases;
    const Platform::TargetDirectory &m_directory;
    IssuedGrantsOptions m_options;
    ReleaseFunction m_release;
    std::map<Core::GrantId, Issued> m_issued;
    std::set<Core::GrantId> m_released;
    std::deque<Core::GrantId> m_releasedInOrder;
    std::map<Core::TargetId, Report> m_reports; // Each target's last.
};

}
