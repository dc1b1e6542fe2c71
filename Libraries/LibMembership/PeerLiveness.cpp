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

void PeerLiveness::start(ClaimsFunction claims, LearnFunction learn)
{
    m_claims = std::move(claims);
    m_learn = std::move(learn);
    m_router.onCall<Ping, PingReply>(
        [this](const Core::HostId &from, const Ping &ping, const std::function<void(const PingReply &)> &reply) {
            m_learn(from, ping.claims);
            reply({.heard = heard(),
                   .claims = m_claims(),
                   .isLeaving = m_leases.self().isLeaving,
                   .tableSilenceMilliseconds = Core::toMilliseconds(m_leases.timeSinceTableResponse())});
        });
    ping();
}

bool PeerLiveness::isDeciding() const
{
    if (m_leases.timeSinceTableResponse() < m_options.tableSilence) {
        return false;
    }
    return std::all_of(m_pinged.begin(), m_pinged.end(), [this](const auto &entry) {
        return !isHeard(entry.second)
            || std::chrono::milliseconds(entry.second.last.tableSilenceMilliseconds) >= m_options.tableSilence;
    });
}

bool PeerLiveness::isDead(const Core::HostId &host) const
{
    const auto found = m_pinged.find(host);
    if (found == m_pinged.end() || found->second.missed < m_options.mostMissed) {
        return false;
    }
    return std::none_of(m_pinged.begin(), m_pinged.end(), [&](const auto &entry) {
        const auto &theirs = entry.second.last.heard;
        return isHeard(entry.second) && std::find(theirs.begin(), theirs.end(), host) != theirs.end();
    });
}

std::vector<Core::HostId> PeerLiveness::alive() const
{
    std::vector<Core::HostId> hosts;
    if (!m_leases.self().isLeaving) {
        hosts.push_back(m_leases.self().id);
    }
    for (const auto &[host, pinged] : m_pinged) {
        if (isHeard(pinged) && !pinged.last.isLeaving) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void PeerLiveness::ping()
{
    if (m_leases.timeSinceTableResponse() < m_options.tableSilence) {
        m_pinged.clear();
    } else {
        for (const auto &peer : m_leases.zonePeers()) {
            m_pinged.try_emplace(peer.id);
            m_router.call<PingReply>(peer.id, Ping {.claims = m_claims()}, m_options.shortestPeriod,
                                     [this, host = peer.id](const std::optional<PingReply> &reply) {
                                         takeReply(host, reply);
                                     });
        }
    }
    m_scheduler.runAfter(period(), [this] {
        ping();
    });
}

void PeerLiveness::takeReply(const Core::HostId &from, const std::optional<PingReply> &reply)
{
    const auto found = m_pinged.find(from);
    if (found == m_pinged.end()) {
        return;
    }
    if (!reply.has_value()) {
        ++found->second.missed;
        return;
    }
    found->second.missed = 0;
    found->second.hasAnswered = true;
    found->second.last = *reply;
    m_learn(from, reply->claims);
}

Core::Duration PeerLiveness::period() const
{
    const auto peers = static_cast<int>(m_leases.zonePeers().size());
    return std::max(m_options.shortestPeriod, m_options.periodPerPeer * peers);
}

std::vector<Core::HostId> PeerLiveness::heard() const
{
    std::vector<Core::HostId> hosts;
    for (const auto &[host, pinged] : m_pinged) {
        if (isHeard(pinged)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

// Until enough pings have gone unanswered, a host that has answered in this silence counts as heard.
bool PeerLiveness::isHeard(const Pinged &pinged) const
{
    return pinged.hasAnswered && pinged.missed < m_options.mostMissed;
}

}
