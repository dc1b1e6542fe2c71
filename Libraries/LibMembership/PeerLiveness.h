#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/HostLeases.h>
#include <LibMembership/PingMessages.h>
#include <LibPeer/PeerRouter.h>

namespace Membership {

struct PeerLivenessOptions {
    // The silence of the table service after which peers are asked directly.
    Core::Duration tableSilence = std::chrono::milliseconds(3000);
    Core::Duration shortestPeriod = std::chrono::milliseconds(1000);
    // The period grows by this for each peer, so that a host sends at most some ten pings a second.
    Core::Duration periodPerPeer = std::chrono::milliseconds(100);
    // Pings that must go unanswered in a row before a host counts as dead.
    int mostMissed = 5;
};

// Who in the zone is alive while the table service is out of reach, by direct pings. Nothing is sent while the table
// service answers.
class PeerLiveness
{
public:
    using ClaimsFunction = std::function<std::vector<TablelessClaim>()>;
    using LearnFunction = std::function<void(const Core::HostId &from, const std::vector<TablelessClaim> &)>;

    PeerLiveness(Core::Scheduler &scheduler, Peer::PeerRouter &router, const HostLeases &leases,
                 PeerLivenessOptions options);

    void start(ClaimsFunction claims, LearnFunction learn);
    // True while the table service has been silent for so long that pings decide, here and at every peer that answers.
    [[nodiscard]] bool isDeciding() const;
    // True when neither this host nor any peer that it hears has heard the host for long enough.
    [[nodiscard]] bool isDead(const Core::HostId &host) const;
    // The zone's hosts that answer this one, itself included, without those that are leaving.
    [[nodiscard]] std::vector<Core::HostId> alive() const;

private:
    struct Pinged {
        int missed = 0;
        bool hasAnswered = false; // Since the silence began.
        PingReply last;
    };

    void ping();
    void takeReply(const Core::HostId &from, const std::optional<PingReply> &reply);
    [[nodiscard]] Core::Duration period() const;
    [[nodiscard]] std::vector<Core::HostId> heard() const;
    [[nodiscard]] bool isHeard(const Pinged &pinged) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const HostLeases &m_leases;
    PeerLivenessOptions m_options;
    ClaimsFunction m_claims;
    LearnFunction m_learn;
    std::map<Core::HostId, Pinged> m_pinged;
};

}
