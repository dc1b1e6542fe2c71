#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/HostLeases.h>
#include <LibMembership/PingMessages.h>
#include <LibPeer/PeerRouter.h>

namespace Membership {

struct PeerLivenessOptions {
    // The time without a response from the table service after which this host pings its peers.
    Core::Duration tableTimeout = std::chrono::milliseconds(3000);
    Core::Duration minPeriod = std::chrono::milliseconds(1000);
    // The ping period grows by this much for each peer, which limits a host to about ten pings a second.
    Core::Duration periodPerPeer = std::chrono::milliseconds(100);
    // The number of consecutive pings without a reply after which a host counts as unresponsive.
    int maxMissedPings = 5;
};

// Detects by direct pings which hosts of the zone are alive while the table service is unreachable. No pings are sent
// while the table service responds.
class PeerLiveness
{
public:
    using ClaimsFunction = std::function<std::vector<TablelessClaim>()>;
    using PeerClaimsFunction = std::function<void(const Core::HostId &from, const std::vector<TablelessClaim> &)>;

    PeerLiveness(Core::Scheduler &scheduler, Peer::PeerRouter &router, const HostLeases &leases,
                 PeerLivenessOptions options);

    // Starts pinging when needed. Pings and replies carry this host's claims; the second function gets those of peers.
    void start(ClaimsFunction claims, PeerClaimsFunction onPeerClaims);
    // True when the table service hasn't responded within the timeout, either to this host or to any reachable peer.
    // Pings then decide which hosts are alive.
    [[nodiscard]] bool isTableUnreachable() const;
    // True when neither this host nor any peer that it can reach has reached the host for long enough.
    [[nodiscard]] bool isUnresponsive(const Core::HostId &host) const;
    // The hosts of the zone that reply to this one, including itself, without those that are leaving.
    [[nodiscard]] std::vector<Core::HostId> availableHosts() const;

private:
    struct PeerState {
        int missedPings = 0;
        bool hasReplied = false; // Since the table service last responded.
        PingReply lastReply;
    };

    void ping();
    void handleReply(const Core::HostId &from, const std::optional<PingReply> &reply);
    [[nodiscard]] Core::Duration period() const;
    [[nodiscard]] std::vector<Core::HostId> reachablePeers() const;
    [[nodiscard]] bool isReachable(const PeerState &peer) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const HostLeases &m_leases;
    PeerLivenessOptions m_options;
    ClaimsFunction m_claims;
    PeerClaimsFunction m_onPeerClaims;
    std::map<Core::HostId, PeerState> m_peers;
};

}
