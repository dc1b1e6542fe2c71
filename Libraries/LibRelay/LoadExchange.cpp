#include <LibRelay/LoadExchange.h>

#include <utility>

namespace Relay {

LoadExchange::LoadExchange(Core::Scheduler &scheduler, Peer::PeerRouter &router, const ZoneReader &reader,
                           LoadExchangeOptions options, LoadsFunction loads, HostsFunction otherReaders,
                           LoadHandler handleLoad)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_reader(reader)
    , m_options(options)
    , m_loads(std::move(loads))
    , m_otherReaders(std::move(otherReaders))
    , m_handleLoad(std::move(handleLoad))
{
    m_router.onMessage<LoadPost>([this](const Core::HostId & /*from*/, const LoadPost &post) {
        recordLoads(m_ownZoneLoads, post.loads);
    });
    m_router.onMessage<LoadDigest>([this](const Core::HostId & /*from*/, const LoadDigest &digest) {
        if (digest.isFromOtherZone) {
            recordLoads(m_otherZoneLoads, digest.loads);
            return;
        }
        for (const auto &load : digest.loads) {
            m_handleLoad(load);
        }
    });
}

void LoadExchange::start()
{
    exchange();
}

void LoadExchange::recordLoads(KnownLoads &known, const std::vector<Holding::ReplicaLoad> &loads)
{
    const auto now = m_scheduler.now();
    for (const auto &load : loads) {
        known[load.replica] = {.load = load, .at = now};
        m_handleLoad(load);
    }
}

void LoadExchange::removeExpired(KnownLoads &known) const
{
    std::erase_if(known, [this, now = m_scheduler.now()](const auto &entry) {
        return now - entry.second.at > m_options.lifetime;
    });
}

void LoadExchange::add(LoadDigest &digest, const KnownLoads &known)
{
    for (const auto &[replica, entry] : known) {
        digest.loads.push_back(entry.load);
    }
}

void LoadExchange::exchange()
{
    removeExpired(m_ownZoneLoads);
    removeExpired(m_otherZoneLoads);
    if (const auto reader = m_reader.reader(); reader.has_value()) {
        if (LoadPost post {.loads = m_loads()}; !post.loads.empty()) {
            m_router.send(*reader, post);
        }
    } else if (m_reader.isReading()) {
        recordLoads(m_ownZoneLoads, m_loads());
        LoadDigest digest {.isFromOtherZone = true, .loads = {}};
        add(digest, m_ownZoneLoads);
        for (const auto &host : m_otherReaders()) {
            m_router.send(host, digest);
        }
        digest.isFromOtherZone = false;
        add(digest, m_otherZoneLoads);
        for (const auto &host : m_reader.followers()) {
            m_router.send(host, digest);
        }
    }
    m_scheduler.runAfter(m_options.period, [this] {
        exchange();
    });
}

}
