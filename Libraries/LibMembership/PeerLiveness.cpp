#include <LibMembership/PeerLiveness.h>

#include <algorithm>

namespace Membership {

PeerLiveness::PeerLiveness(Core::Scheduler &scheduler, Peer::PeerRouter &router, const HostLeases &leases,
                           PeerLivenessOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_leases(leases)
    , m_options(options)
{
}

void PeerLiveness::start(ClaimsFunction claims, PeerClaimsFunction onPeerClaims)
{
    m_claims = std::move(claims);
    m_onPeerClaims = std::move(onPeerClaims);
    m_router.onCall<Ping, PingReply>(
        [this](const Core::HostId &from, const Ping &ping, const std::function<void(const PingReply &)> &reply) {
            m_onPeerClaims(from, ping.claims);
            reply({.reachableHosts = reachablePeers(),
                   .claims = m_claims(),
                   .isLeaving = m_leases.self().isLeaving,
                   .millisecondsSinceTableResponse = Core::toMilliseconds(m_leases.timeSinceTableResponse())});
        });
    ping();
}

bool PeerLiveness::isTableUnreachable() const
{
    if (m_leases.timeSinceTableResponse() < m_options.tableTimeout) {
        return false;
    }
    return std::all_of(m_peers.begin(), m_peers.end(), [this](const auto &entry) {
        return !isReachable(entry.second)
            || std::chrono::milliseconds(entry.second.lastReply.millisecondsSinceTableResponse)
            >= m_options.tableTimeout;
    });
}

bool PeerLiveness::isUnresponsive(const Core::HostId &host) const
{
    const auto found = m_peers.find(host);
    if (found == m_peers.end() || found->second.missedPings < m_options.maxMissedPings) {
        return false;
    }
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const auto &theirs = entry.second.lastReply.reachableHosts;
        return isReachable(entry.second) && std::find(theirs.begin(), theirs.end(), host) != theirs.end();
    });
}

std::vector<Core::HostId> PeerLiveness::availableHosts() const
{
    std::vector<Core::HostId> hosts;
    if (!m_leases.self().isLeaving) {
        hosts.push_back(m_leases.self().id);
    }
    for (const auto &[host, peer] : m_peers) {
        if (isReachable(peer) && !peer.lastReply.isLeaving) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void PeerLiveness::ping()
{
    if (m_leases.timeSinceTableResponse() < m_options.tableTimeout) {
        m_peers.clear();
    } else {
        for (const auto &peer : m_leases.zonePeers()) {
            m_peers.try_emplace(peer.id);
            m_router.call<PingReply>(peer.id, Ping {.claims = m_claims()}, m_options.minPeriod,
                                     [this, host = peer.id](const std::optional<PingReply> &reply) {
                                         handleReply(host, reply);
                                     });
        }
    }
    m_scheduler.runAfter(period(), [this] {
        ping();
    });
}

void PeerLiveness::handleReply(const Core::HostId &from, const std::optional<PingReply> &reply)
{
    const auto found = m_peers.find(from);
    if (found == m_peers.end()) {
        return;
    }
    if (!reply.has_value()) {
        ++found->second.missedPings;
        return;
    }
    found->second.missedPings = 0;
    found->second.hasReplied = true;
    found->second.lastReply = *reply;
    m_onPeerClaims(from, reply->claims);
}

Core::Duration PeerLiveness::period() const
{
    const auto peers = static_cast<int>(m_leases.zonePeers().size());
    return std::max(m_options.minPeriod, m_options.periodPerPeer * peers);
}

std::vector<Core::HostId> PeerLiveness::reachablePeers() const
{
    std::vector<Core::HostId> hosts;
    for (const auto &[host, peer] : m_peers) {
        if (isReachable(peer)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

// A host that has replied since the table service last responded counts as reachable until it misses enough pings in a
// row.
bool PeerLiveness::isReachable(const PeerState &peer) const
{
    return peer.hasReplied && peer.missedPings < m_options.maxMissedPings;
}

}
