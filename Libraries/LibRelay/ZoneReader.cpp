#include <LibRelay/ZoneReader.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace Relay {

namespace {

// The first host reads for its zone, the second in its place.
constexpr std::size_t Readers = 2;

}

ZoneReader::ZoneReader(Core::Scheduler &scheduler, Peer::PeerRouter &router, ZoneReaderOptions options,
                       HostsFunction hosts, HealthFunction isHealthy)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_options(options)
    , m_hosts(std::move(hosts))
    , m_isHealthy(std::move(isHealthy))
{
    m_router.onMessage<ReaderHeartbeat>([this](const Core::HostId &from, const ReaderHeartbeat &beat) {
        if (beat.isHealthy) {
            m_heard[from] = m_scheduler.now();
        } else {
            m_heard.erase(from);
        }
    });
}

void ZoneReader::start()
{
    beat();
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
    ranked.resize(std::min(ranked.size(), Readers));
    return ranked;
}

bool ZoneReader::isHeard(const Core::HostId &host) const
{
    const auto found = m_heard.find(host);
    return found != m_heard.end() && m_scheduler.now() - found->second < m_options.beatLifetime;
}

std::optional<Core::HostId> ZoneReader::reader() const
{
    const auto ranked = ranking();
    for (std::size_t rank = 0; rank < std::min(Readers, ranked.size()); ++rank) {
        if (ranked[rank] == m_router.self()) {
            return std::nullopt;
        }
        if (isHeard(ranked[rank])) {
            return ranked[rank];
        }
    }
    return std::nullopt;
}

bool ZoneReader::isReading() const
{
    const auto ranked = ranking();
    const auto own = std::find(ranked.begin(), ranked.end(), m_router.self());
    return own - ranked.begin() < static_cast<std::ptrdiff_t>(Readers) && !reader().has_value();
}

std::vector<Core::HostId> ZoneReader::followers() const
{
    auto hosts = ranking();
    std::erase(hosts, m_router.self());
    return hosts;
}

void ZoneReader::beat()
{
    if (isReading()) {
        for (const auto &host : followers()) {
            m_router.send(host, ReaderHeartbeat {.isHealthy = m_isHealthy()});
        }
    }
    m_scheduler.runAfter(m_options.beatPeriod, [this] {
        beat();
    });
}

}
