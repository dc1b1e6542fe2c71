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
    // The owner asks the front whether it still holds a grant that is older than this.
    Core::Duration queryAge = std::chrono::milliseconds(20000);
    std::size_t maxReleased = 10000; // Grants whose release is remembered.
};

// The grants that this host has issued, or has adopted from a target's previous owner, and the front that holds each. A
// grant never ends by a timeout alone. It ends when its front releases it, or when the front reports that it does not
// hold the grant or is gone, and a target report requested after that shows the adapter idle. The report is needed
// because a request sent by an earlier process of the front could still begin to run.
class IssuedGrants
{
public:
    using ReleaseFunction = std::function<void(const Core::GrantId &)>;

    IssuedGrants(Core::Scheduler &scheduler, Peer::PeerRouter &router, const Membership::HostLeases &leases,
                 const Platform::TargetDirectory &directory, IssuedGrantsOptions options);

    // Calls the function for each grant that has ended without a release; it must end the grant as a release does.
    void start(ReleaseFunction release);
    // Returns true if a request for a grant is to be served: false for a duplicate and for a grant already released.
    [[nodiscard]] bool admit(const Core::GrantId &grant, const Core::HostId &front);
    void markGranted(const Core::GrantId &grant, const Core::TargetId &target, const Core::AdapterVersion &adapter);
    // Adopts a grant that the target's previous owner has issued.
    void adopt(const AnnouncedGrant &announced, const Core::TargetId &target, const Core::HostId &front);
    // Returns the target of a grant that is still valid and counts its age from now on; none if it has ended or never
    // got a target.
    [[nodiscard]] std::optional<Core::TargetId> confirm(const Core::GrantId &grant);
    // Removes a grant and remembers its ID, so that a late request for it is not served.
    void release(const Core::GrantId &grant);
    // Removes the grants of a target that this host no longer owns.
    void removeTarget(const Core::TargetId &target);
    // Records which adapters the target runs requests on, from a report requested at the given time.
    void recordReport(const Core::TargetId &target, Core::TimePoint requestedAt, std::set<Core::AdapterVersion> busy);
    // Returns true while an adopted grant keeps the adapter resident.
    [[nodiscard]] bool isAdopted(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;
    [[nodiscard]] std::size_t count() const;

private:
    struct IssuedGrant {
        Core::HostId front;
        Core::TargetId target; // Empty while the request waits for a grant.
        Core::AdapterVersion adapter;
        Core::TimePoint admittedAt {};
        bool isAdopted = false;
        std::optional<Core::TimePoint> endedAt; // When the front was first found not to hold the grant.
    };
    struct Report {
        Core::TimePoint requestedAt {};
        std::set<Core::AdapterVersion> busy;
    };

    void queryFronts();
    void queryFront(const Core::HostId &front, std::vector<Core::GrantId> grants);
    [[nodiscard]] bool isFrontGone(const IssuedGrant &issued) const;
    // Returns true if the request never got a target, or a report requested after endedAt shows the adapter idle.
    [[nodiscard]] bool isIdleSinceEnd(const IssuedGrant &issued) const;
    void releaseEnded();

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const Membership::HostLeases &m_leases;
    const Platform::TargetDirectory &m_directory;
    IssuedGrantsOptions m_options;
    ReleaseFunction m_release;
    std::map<Core::GrantId, IssuedGrant> m_issued;
    std::set<Core::GrantId> m_released;
    std::deque<Core::GrantId> m_releasedInOrder;
    std::map<Core::TargetId, Report> m_reports; // The latest report of each target.
};

}
