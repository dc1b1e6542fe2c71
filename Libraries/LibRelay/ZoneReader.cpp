#include <LibRelay/ZoneReader.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace Relay {

namespace {

// The first host reads for its zone; the second is its replacement.
constexpr std::size_t ReadersPerZone = 2;

}

ZoneReader::ZoneReader(Core::Scheduler &scheduler, Peer::PeerRouter &router, ZoneReaderOptions options,
                       HostsFunction hosts, HealthFunction isHealthy)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_options(options)
    , m_hosts(std::move(hosts))
    , m_isHealthy(std::move(isHealthy))
{
    m_router.onMessage<ReaderHeartbeat>([this](const Core::HostId &from, const ReaderHeartbeat &heartbeat) {
        if (heartbeat.isHealthy) {
            m_lastHeartbeats[from] = m_scheduler.now();
        } else {
            m_lastHeartbeats.erase(from);
        }
    });
}

void ZoneReader::start()
{
    sendHeartbeats();
}

std::vector<Core::HostId> ZoneReader::rank(std::vector<ZoneHost> hosts)
{
    std::sort(hosts.begin(), hosts.end(), [](const auto &left, const auto &right) {
        return left.weight != right.weight ? left.weight > right.weight
                                           : Core::stableHash(left.host.value) > Core::stableHash(right.host.value);
    });
    std::vector<Core::HostId> ranked;
    for (const auto &host : hosts) {
        ranked.push_back(host.host);
    }
    return ranked;
}

std::vector<Core::HostId> ZoneReader::ranking() const
{
    return rank(m_hosts());
}

std::vector<Core::HostId> ZoneReader::candidates(std::vector<ZoneHost> hosts)
{
    auto ranked = rank(std::move(hosts));
    ranked.resize(std::min(ranked.size(), ReadersPerZone));
    return ranked;
}

bool ZoneReader::hasRecentHeartbeat(const Core::HostId &host) const
{
    const auto found = m_lastHeartbeats.find(host);
    return found != m_lastHeartbeats.end() && m_scheduler.now() - found->second < m_options.heartbeatTimeout;
}

std::optional<Core::HostId> ZoneReader::reader() const
{
    const auto ranked = ranking();
    for (std::size_t rank = 0; rank < std::min(ReadersPerZone, ranked.size()); ++rank) {
        if (ranked[rank] == m_router.self()) {
            return std::nullopt;
        }
        if (hasRecentHeartbeat(ranked[rank])) {
            return ranked[rank];
        }
    }
    return std::nullopt;
}

bool ZoneReader::isReading() const
{
    const auto ranked = ranking();
    const auto own = std::find(ranked.begin(), ranked.end(), m_router.self());
    return own - ranked.begin() < static_cast<std::ptrdiff_t>(ReadersPerZone) && !reader().has_value();
}

std::vector<Core::HostId> ZoneReader::followers() const
{
    auto hosts = ranking();
    std::erase(hosts, m_router.self());
    return hosts;
}

void ZoneReader::announceHealth()
{
    if (isReading()) {
        for (const auto &host : followers()) {
            m_router.send(host, ReaderHeartbeat {.isHealthy = m_isHealthy()});
        }
    }
}

void ZoneReader::sendHeartbeats()
{
    announceHealth();
    m_scheduler.runAfter(m_options.heartbeatPeriod, [this] {
        sendHeartbeats();
    });
}

}
