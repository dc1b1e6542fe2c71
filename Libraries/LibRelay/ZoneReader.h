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
    double weight = 1; // Share of the work relative to the other hosts.
};

struct ZoneReaderOptions {
    Core::Duration heartbeatPeriod = std::chrono::milliseconds(300);
    // After this time without a heartbeat a reader counts as failed. Well under the two seconds within which a change
    // has to take effect.
    Core::Duration heartbeatTimeout = std::chrono::milliseconds(1000);
};

// Determines which host reads the table store for its zone: the one with the highest weight. Hosts reach this decision
// independently; the only messages are heartbeats. If the first host becomes unresponsive or can't reach the store, the
// second reads for the zone as well. If both fail, every host reads for itself.
class ZoneReader
{
public:
    using HostsFunction = std::function<std::vector<ZoneHost>()>;
    using HealthFunction = std::function<bool()>;

    // The hosts are the live hosts of the own zone, this one included. The host is healthy if its calls to the store
    // succeed.
    ZoneReader(Core::Scheduler &scheduler, Peer::PeerRouter &router, ZoneReaderOptions options, HostsFunction hosts,
               HealthFunction isHealthy);

    void start();
    // Sends a heartbeat at once. To be called when this host has lost the store, so that the others needn't wait.
    void announceHealth();
    // The other host that currently reads for this one; no value if this host reads for itself.
    [[nodiscard]] std::optional<Core::HostId> reader() const;
    // True if this host currently reads for its zone.
    [[nodiscard]] bool isReading() const;
    // The hosts that may read for their zone, in order of preference.
    [[nodiscard]] static std::vector<Core::HostId> candidates(std::vector<ZoneHost> hosts);
    // The other hosts of the zone, which use this host as their reader while it reads.
    [[nodiscard]] std::vector<Core::HostId> followers() const;

private:
    void sendHeartbeats();
    [[nodiscard]] static std::vector<Core::HostId> rank(std::vector<ZoneHost> hosts);
    [[nodiscard]] std::vector<Core::HostId> ranking() const;
    [[nodiscard]] bool hasRecentHeartbeat(const Core::HostId &host) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    ZoneReaderOptions m_options;
    HostsFunction m_hosts;
    HealthFunction m_isHealthy;
    std::map<Core::HostId, Core::TimePoint> m_lastHeartbeats; // Time of the last healthy heartbeat of each reader.
};

}
