#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/HostLeases.h>
#include <LibPeer/PeerRouter.h>
#include <LibRouting/QuarantineTable.h>

namespace Routing {

// This host's table of requests that crash targets, shared with the other hosts: a new death is told to every
// host of the own availability zone and to one host of each other zone, which passes it on in its zone.
class Quarantine
{
public:
    Quarantine(Core::Scheduler &scheduler, Peer::PeerRouter &router, const Membership::HostLeases &leases,
               QuarantineTableOptions options);

    // Takes other hosts' notices.
    void start();
    // A target died while it ran the request.
    void recordDeath(std::uint64_t fingerprint, const TargetDeath &death);
    // The request has run whole.
    void recordCompletion(std::uint64_t fingerprint);
    [[nodiscard]] Suspicion suspicionOf(std::uint64_t fingerprint) const;

private:
    enum class Reach { OwnZone, AllZones };

    void take(const QuarantineNotice &notice);
    [[nodiscard]] bool apply(const QuarantineNotice &notice);
    void tell(QuarantineNotice notice, Reach reach);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const Membership::HostLeases &m_leases;
    QuarantineTable m_table;
};

}
