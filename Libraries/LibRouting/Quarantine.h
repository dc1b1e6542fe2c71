#pragma once

#include <LibCore/Scheduler.h>
#include <LibPeer/PeerRouter.h>
#include <LibRouting/QuarantineTable.h>

namespace Routing {

// A live host, as a receiver of notices.
struct QuarantineHost {
    Core::HostId id;
    Core::ZoneId zone;
};

struct QuarantineOptions {
    QuarantineTableOptions table;
    // Interval at which the refusals are sent to one other host, so that a host that has missed notices or has started
    // since learns them; zero for never.
    Core::Duration exchangePeriod {};

    // For requests that are identified as a whole and by the parts of their prompts. A crash ends sound requests too,
    // and some of them are caught in a second one, so two don't convict a part.
    [[nodiscard]] static QuarantineOptions forPromptParts();
};

// The hosts to which notices are sent.
struct QuarantineHosts {
    QuarantineHost self;
    std::function<std::vector<QuarantineHost>()> live; // May include this host.
};

// This host's table of requests, or parts of their prompts, that crash targets, replicated to the other hosts. A change
// is sent to every host in this availability zone and to two hosts in each other zone, which forward it to the hosts in
// their zone.
class Quarantine
{
public:
    Quarantine(Core::Scheduler &scheduler, Peer::PeerRouter &router, QuarantineHosts hosts, QuarantineOptions options);

    // Starts applying the notices of other hosts.
    void start();
    // Records that a target died while it ran the request.
    void recordDeath(std::uint64_t fingerprint, const TargetDeath &death);
    // Records that a target died while it ran a request with these fingerprints.
    void recordDeath(std::span<const std::uint64_t> fingerprints, const TargetDeath &death);
    // Records that the request ran to completion, which removes it from the table if it is a suspect.
    void recordCompletion(std::uint64_t fingerprint);
    // Records that a request with these fingerprints ran to completion, which shows that none of them crashes targets.
    void recordCompletion(std::span<const std::uint64_t> fingerprints);
    [[nodiscard]] Suspicion suspicionOf(std::uint64_t fingerprint) const;
    [[nodiscard]] Suspicion suspicionOf(std::span<const std::uint64_t> fingerprints) const;

private:
    enum class Recipients { OwnZone, AllZones };

    void handleNotice(const Core::HostId &from, const QuarantineNotice &notice);
    // Returns true if the notice changed the table.
    [[nodiscard]] bool apply(const QuarantineNotice &notice);
    void broadcast(QuarantineNotice notice, Recipients recipients);
    void exchange();

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    QuarantineHosts m_hosts;
    Core::Duration m_exchangePeriod;
    QuarantineTable m_table;
    std::uint64_t m_exchanges = 0;
};

}
