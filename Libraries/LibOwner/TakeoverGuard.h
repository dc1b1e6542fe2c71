#pragma once

#include <LibMembership/HostLeases.h>
#include <LibMembership/OwnershipView.h>
#include <LibOwner/IssuedGrants.h>

namespace Owner {

struct TakeoverGuardOptions {
    Core::Duration queryPeriod = std::chrono::milliseconds(1000);
    // After this time a former owner that the target refuses has stopped granting: longer than the time for which
    // TargetOwnership acts on one confirmation of its fence.
    Core::Duration formerTerm = std::chrono::milliseconds(9000);
};

// Says whether an adapter may be unloaded from a target that this host has taken over, where requests may run under
// grants that a former owner gave. Asks every front of the availability zone for them.
class TakeoverGuard
{
public:
    TakeoverGuard(Core::Scheduler &scheduler, Peer::PeerRouter &router, Membership::OwnershipView &ownership,
                  const Membership::HostLeases &leases, const Platform::TargetDirectory &directory,
                  IssuedGrants &grants, TakeoverGuardOptions options);

    void start();
    void begin(const Membership::OwnershipGain &gain);
    void end(const Core::TargetId &target);
    // A report of the target that was asked for at the given time; the adapters run requests there.
    void takeReport(const Core::TargetId &target, Core::TimePoint askedAt, const std::set<Core::AdapterVersion> &busy);
    // True when nobody can be using the adapter there but under a grant of this host, and an unload that is sent now
    // can do no harm later. Where the allowance to evict is all that is missing, asks for it.
    [[nodiscard]] bool mayUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    // True when the adapter may be loaded and granted there.
    [[nodiscard]] bool mayPlace(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;

private:
    struct Takeover {
        Membership::OwnershipGain gain;
        Core::TimePoint beganAt {};
        bool hasFormerStopped = false;
        std::set<Core::HostId> unannounced;
        std::optional<Core::TimePoint> reportAskedAt;
        std::set<Core::AdapterVersion> busy;
    };

    void queryFronts();
    void takeAnnouncement(const Core::HostId &front, const std::vector<GainedTarget> &gained,
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
