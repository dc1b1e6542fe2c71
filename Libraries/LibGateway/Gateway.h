#pragma once

#include <LibFleet/Feed.h>
#include <LibFleet/OrderLink.h>
#include <LibGateway/Passage.h>
#include <LibHolding/HolderTable.h>
#include <LibHolding/ReplicaController.h>
#include <LibPeer/PeerRouter.h>
#include <LibRelay/LoadSpread.h>
#include <LibRelay/SharedRowFeed.h>
#include <LibRelay/SharedWriter.h>

namespace Gateway {

struct GatewayOptions {
    Holding::HolderTableOptions holding;
    ServiceRetryBudgetOptions retryBudget;
    std::string peerKey; // Shared by all hosts of the system.
    Core::Duration noticePeriod
        = std::chrono::milliseconds(150); // Between notices of use to holders, and their replies.
    Core::Duration tickPeriod = std::chrono::milliseconds(75); // Of the replicas' controllers.
    Core::Duration adapterTimeout = std::chrono::milliseconds(1100); // Of a request to a holder.
};

struct GatewayPorts {
    Core::Scheduler &scheduler;
    Net::HttpClient &client;
    Platform::TableService &table;
    Platform::RowFeed &rows;
    Fleet::OrderLink &orders;
    const Protocol &protocol;
    Peer::PeerTransport &transport;
    Metrics::Registry &metrics;
    // Makes the source of replicas and configuration from the rows, which hosts of a zone share.
    std::function<std::unique_ptr<Fleet::DeploymentSource>(Platform::RowFeed &rows)> makeSource;
};

// An entry host that passes requests on to replicas of services: follows the configuration, the replicas and the other
// hosts, gives orders to the replicas that it holds, and carries callers' requests.
class Gateway
{
public:
    Gateway(GatewayPorts ports, GatewayOptions options);

    void start();
    // Takes a caller's request.
    void handleRequest(const std::shared_ptr<Net::Exchange> &exchange);
    // True when the host knows a configuration and the replicas, and isn't leaving.
    [[nodiscard]] bool isReady() const;
    // Takes the retry budget of changed settings.
    void setRetryBudget(const ServiceRetryBudgetOptions &options);
    // Begins a planned stop: the host isn't ready any more; requests that still arrive are served.
    void beginLeaving();
    // Refuses requests that arrive from now on, since there is no time left to serve them.
    void refuseNewRequests();
    // Lets other hosts give orders to the replicas that this one holds; the last step of a planned stop.
    void releaseReplicas(std::function<void()> done);
    [[nodiscard]] Peer::PeerRouter &router();
    [[nodiscard]] const Holding::HolderTable &holders() const;

private:
    void takeReplicas(const Fleet::ReplicaChanges &changes, bool isWhole);
    void takeConfiguration(Fleet::ConfigurationChanges &&changes);
    void tick();
    // Has a controller for each replica that this host holds, and for no other.
    void matchControllersToHolds();
    // Gives the controllers the newest entries and settings.
    void updateControllers();
    // The settings of a model replica's service; null for a plain service, or before the first configuration.
    [[nodiscard]] const Routes::EngineSettings *engineOf(const Fleet::Replica &replica) const;
    void sendNotices();
    void loadAdapter(const Holding::AdapterRequest &request, std::function<void(const Holding::AdapterReply &)> done);
    void serveAdapterRequest(const Holding::AdapterRequest &request,
                             const std::function<void(const Holding::AdapterReply &)> &reply);
    void takeUse(const Core::HostId &from, const Holding::UseNotice &notice);
    [[nodiscard]] std::vector<Holding::HoldableReplica> holdableReplicas() const;
    [[nodiscard]] Fleet::FeedOptions feedOptions(std::string name, Core::Duration pace, Core::Duration wait,
                                                 Core::Duration firstPace) const;
    // The loads of the replicas that this host holds.
    [[nodiscard]] std::vector<Holding::ReplicaLoad> heldLoads() const;
    // Of each other zone the hosts that may read the store for it.
    [[nodiscard]] std::vector<Core::HostId> otherReaders() const;
    // The live hosts of this host's zone.
    [[nodiscard]] std::vector<Relay::ZoneHost> zoneHosts() const;

    GatewayPorts m_ports;
    GatewayOptions m_options;
    Peer::PeerRouter m_router;
    Routes::RouteTable m_routes;
    Fleet::ReplicaSet m_replicas;
    Fleet::ReleaseTable m_releases;
    FleetView m_fleet;
    ServiceRetryBudget m_allowance;
    Relay::ZoneReader m_reader;
    Relay::SharedRowFeed m_rows;
    Relay::SharedWriter m_writer;
    Relay::LoadSpread m_spread;
    std::unique_ptr<Fleet::DeploymentSource> m_deployment;
    Holding::HolderTable m_holders;
    Fleet::Feed<Fleet::ReplicaChanges> m_replicaFeed;
    Fleet::Feed<Fleet::ConfigurationChanges> m_configurationFeed;
    Fleet::Feed<Platform::FeedResult> m_holderFeed;
    std::map<Core::TargetId, std::unique_ptr<Holding::ReplicaController>> m_controllers;
    std::map<Core::HostId, Core::TimePoint> m_users; // Hosts that use replicas held here, and when they last said so.
    Core::TimePoint m_nextNotice {};
    bool m_isLeaving = false;
    bool m_isRefusing = false;
};

}
