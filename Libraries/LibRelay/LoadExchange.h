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
    Core::Duration period = std::chrono::milliseconds(250); // Between two digests, and between two posts.
    // A replica's load is passed on for this long; its holder posts it again four times meanwhile.
    Core::Duration lifetime = std::chrono::milliseconds(1000);
};

// Spreads what holders know of their replicas' load to every host, so that a host that rarely uses a replica knows how
// busy it is. Holders post to their zone's reader; the reader sends one digest to its zone, and what is its zone's own
// to the readers of the other zones, which pass it on. A host sends a message or two a period, however many there are.
class LoadExchange
{
public:
    using LoadsFunction = std::function<std::vector<Holding::ReplicaLoad>()>;
    using HostsFunction = std::function<std::vector<Core::HostId>()>;
    using TakeFunction = std::function<void(const Holding::ReplicaLoad &)>;

    // The loads are those of replicas that this host holds; the other readers are hosts of other zones, of each zone
    // those that may read for it. Every load that arrives is taken.
    LoadExchange(Core::Scheduler &scheduler, Peer::PeerRouter &router, const ZoneReader &reader,
                 LoadExchangeOptions options, LoadsFunction loads, HostsFunction otherReaders, TakeFunction take);

    void start();

private:
    struct Known {
        Holding::ReplicaLoad load;
        Core::TimePoint at {};
    };
    using KnownLoads = std::map<Core::TargetId, Known>;

    void beat();
    void keep(KnownLoads &known, const std::vector<Holding::ReplicaLoad> &loads);
    void dropOutdated(KnownLoads &known) const;
    static void add(LoadDigest &digest, const KnownLoads &known);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    const ZoneReader &m_reader;
    LoadExchangeOptions m_options;
    LoadsFunction m_loads;
    HostsFunction m_otherReaders;
    TakeFunction m_take;
    KnownLoads m_zone; // Of this host's zone, by its holders' posts.
    KnownLoads m_elsewhere; // Of other zones, by their readers' digests.
};

}
