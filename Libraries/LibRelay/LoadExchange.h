#pragma once

#include <LibCore/Scheduler.h>
#include <LibPeer/PeerRouter.h>
#include <LibRelay/RelayMessages.h>
#include <LibRelay/ZoneReader.h>
#include <functional>
#include <map>
#include <vector>

namespace Relay {

struct LoadExchangeOptions {
    Core::Duration period = std::chrono::milliseconds(250); // Between two digests and between two posts.
    // How long a received load is forwarded. The holder posts it four times within this time.
    Core::Duration lifetime = std::chrono::milliseconds(1000);
};

// Distributes the loads of replicas from their holders to every host, so that a host also knows the load of replicas
// that it rarely uses. Holders post their loads to the reader of their zone. The reader sends a digest of all known
// loads to the hosts of its zone, and the loads of its own zone to the readers of the other zones, which forward them.
// The other hosts send at most one message per period, however many hosts there are.
class LoadExchange
{
public:
    using LoadsFunction = std::function<std::vector<Holding::ReplicaLoad>()>;
    using HostsFunction = std::function<std::vector<Core::HostId>()>;
    using LoadHandler = std::function<void(const Holding::ReplicaLoad &)>;

    // The loads are those of the replicas that this host holds. The other readers are the hosts that may read for each
    // of the other zones. The handler is called for every load that arrives.
    LoadExchange(Core::Scheduler &scheduler, Peer::PeerRouter &router, const ZoneReader &reader,
                 LoadExchangeOptions options, LoadsFunction loads, HostsFunction otherReaders, LoadHandler handleLoad);

    void start();

private:
    struct KnownLoad {
        Holding::ReplicaLoad load;
        Core::TimePoint at {};
    };
    using KnownLoads = std::map<Core::TargetId, KnownLoad>;

    void exchange();
    void recordLoads(KnownLoads &known, const std::vector<Holding::ReplicaLoad> &loads);
    void removeExpired(KnownLoads &known) const;
    static void add(LoadDigest &digest, const KnownLoads &known);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const ZoneReader &m_reader;
    LoadExchangeOptions m_options;
    LoadsFunction m_loads;
    HostsFunction m_otherReaders;
    LoadHandler m_handleLoad;
    KnownLoads m_ownZoneLoads; // From the posts of the holders in this zone.
    KnownLoads m_otherZoneLoads; // From the digests of the readers of other zones.
};

}
