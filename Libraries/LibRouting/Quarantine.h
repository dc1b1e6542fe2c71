#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/HostLeases.h>
#include <LibPeer/PeerRouter.h>
#include <LibRouting/QuarantineTable.h>

namespace Routing {

// This host's table of requests that crash targets, replicated to the other hosts. A change is sent to every host in
// this availability zone and to one host in each other zone, which forwards it to the hosts in its zone.
class Quarantine
{
public:
    Quarantine(Core::Scheduler &scheduler, Peer::PeerRouter &router, const Membership::HostLeases &leases,
               QuarantineTableOptions options);

    // Starts applying the notices of other hosts.
    void start();
    // Records that a target died while it ran the request.
    void recordDeath(std::uint64_t fingerprint, const TargetDeath &death);
    // Records that the request ran to completion, which removes it from the table if it is a suspect.
    void recordCompletion(std::uint64_t fingerprint);
    [[nodiscard]] Suspicion suspicionOf(std::uint64_t fingerprint) const;

private:
    enum class Recipients { OwnZone, AllZones };

    void handleNotice(const QuarantineNotice &notice);
    // Returns true if the notice changed the table.
    [[nodiscard]] bool apply(const QuarantineNotice &notice);
    void broadcast(QuarantineNotice notice, Recipients recipients);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const Membership::HostLeases &m_leases;
    QuarantineTable m_table;
};

}
