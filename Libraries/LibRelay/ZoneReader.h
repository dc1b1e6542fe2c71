#pragma once

#include <LibCore/Scheduler.h>
#include <LibPeer/PeerRouter.h>
#include <LibRelay/RelayMessages.h>
#include <functional>
#include <optional>
#include <vector>

namespace Relay {

// A live host of the own zone.
struct ZoneHost {
    Core::HostId host;
    double weight = 1; // How much work it takes beside the others.
};

struct ZoneReaderOptions {
    Core::Duration beatPeriod = std::chrono::milliseconds(300);
    // A reader that has said nothing for this long isn't relied on. Well under the two seconds in which a change must
    // be in force.
    Core::Duration beatLifetime = std::chrono::milliseconds(1000);
};

// Agrees, without messages of its own but the beat, on the host that reads the store for its zone: the one with the
// most weight. The next one reads too when the first falls silent or can't reach the store; when both do, every host
// reads for itself.
class ZoneReader
{
public:
    using HostsFunction = std::function<std::vector<ZoneHost>()>;
    using HealthFunction = std::function<bool()>;

    // The hosts are the live ones of the own zone, this one included. The health is that of this host's own calls.
    ZoneReader(Core::Scheduler &scheduler, Peer::PeerRouter &router, ZoneReaderOptions options, HostsFunction hosts,
               HealthFunction isHealthy);

    void start();
    // The other host that reads for this one at present; without a value this host reads for itself.
    [[nodiscard]] std::optional<Core::HostId> reader() const;
    // True when others may rely on this host.
    [[nodiscard]] bool isReading() const;
    // Which of a zone's hosts may read for it, the first one first.
    [[nodiscard]] static std::vector<Core::HostId> candidates(std::vector<ZoneHost> hosts);
    // The hosts that may rely on this one.
    [[nodiscard]] std::vector<Core::HostId> followers() const;

private:
    void beat();
    [[nodiscard]] static std::vector<Core::HostId> rank(std::vector<ZoneHost> hosts);
    [[nodiscard]] std::vector<Core::HostId> ranking() const;
    [[nodiscard]] bool isHeard(const Core::HostId &host) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    ZoneReaderOptions m_options;
    HostsFunction m_hosts;
    HealthFunction m_isHealthy;
    std::map<Core::HostId, Core::TimePoint> m_heard; // When each reader last said that it is healthy.
};

}
