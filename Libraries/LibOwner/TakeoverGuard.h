#pragma once

#include <LibMembership/HostLeases.h>
#include <LibMembership/OwnershipView.h>
#include <LibOwner/GrantMessages.h>
#include <LibOwner/IssuedGrants.h>

namespace Owner {

struct TakeoverGuardOptions {
    Core::Duration queryPeriod = std::chrono::milliseconds(1000);
    // A previous owner whose fencing token the target refuses has stopped granting after this time. It must be longer
    // than the time for which TargetOwnership acts on one confirmation of its fencing token, and then a front may still
    // use a grant for GrantUseLimit.
    Core::Duration previousOwnerTimeout = std::chrono::milliseconds(9000) + GrantUseLimit;
};

// Decides whether an adapter may be unloaded from a target that this host has taken over, where requests may still run
// under grants issued by a previous owner. Queries every front in the availability zone for such grants.
class TakeoverGuard
{
public:
    TakeoverGuard(Core::Scheduler &scheduler, Peer::PeerRouter &router, Membership::OwnershipView &ownership,
                  const Membership::HostLeases &leases, const Platform::TargetDirectory &directory,
                  IssuedGrants &grants, TakeoverGuardOptions options);

    void start();
    void begin(const Membership::OwnershipGain &gain);
    void end(const Core::TargetId &target);
    // Records which adapters the target runs requests on, from a report requested at the given time.
    void recordReport(const Core::TargetId &target, Core::TimePoint requestedAt,
                      const std::set<Core::AdapterVersion> &busy);
    // Returns true if the adapter can only be in use there under grants of this host, and an unload sent now is
    // harmless however late it arrives. If only the entry in the eviction allowlist is missing, requests it.
    [[nodiscard]] bool mayUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    // Returns true if the adapter may be loaded and granted on the target.
    [[nodiscard]] bool mayPlace(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;

private:
    struct Takeover {
        Membership::OwnershipGain gain;
        Core::TimePoint beganAt {};
        bool hasPreviousOwnerStopped = false;
        std::set<Core::HostId> pendingFronts; // Fronts that have not yet announced their grants.
        std::optional<Core::TimePoint> reportRequestedAt;
        std::set<Core::AdapterVersion> busy; // Adapters that run requests, from the latest report.
    };

    void queryFronts();
    void handleAnnouncement(const Core::HostId &front, const std::vector<GainedTarget> &gained,
                            const GrantAnnouncement &announcement);
    [[nodiscard]] bool isIdle(const Takeover &takeover, const Core::AdapterVersion &adapter) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Membership::OwnershipView &m_ownership;
    const Membership::HostLeases &m_leases;
    const Platform::TargetDirectory &m_directory;
    IssuedGrants &m_grants;
    TakeoverGuardOptions m_options;
    std::map<Core::TargetId, Takeover> m_takeovers;
};

}
