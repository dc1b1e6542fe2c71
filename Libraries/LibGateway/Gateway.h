#pragma once

#include <LibAccounts/AllowanceExchange.h>
#include <LibFleet/Feed.h>
#include <LibFleet/OrderLink.h>
#include <LibGateway/AccountOverview.h>
#include <LibGateway/ConfigurationProof.h>
#include <LibGateway/FeedTimes.h>
#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/RequestExplanation.h>
#include <LibHolding/HolderTable.h>
#include <LibHolding/NoticeSeries.h>
#include <LibHolding/ReplicaController.h>
#include <LibPeer/PeerRouter.h>
#include <LibRelay/LoadExchange.h>
#include <LibRelay/SharedRowFeed.h>
#include <LibRelay/SharedWriter.h>

namespace Gateway {

struct GatewayOptions {
    Holding::HolderTableOptions holding;
    ServiceRetryBudgetOptions retryBudget;
    Routing::QuarantineOptions quarantine = Routing::QuarantineOptions::forPromptParts();
    std::string peerKey; // Key shared by all hosts of the system.
    ChangeBounds changes;
    // A request whose key was revoked for longer than this when its caller sent it doesn't run, also on a host that is
    // cut off from the platform. Zero for no such bound.
    Core::Duration revocationBound {};
    // Notices without news are sent at this interval.
    Core::Duration quietNoticePeriod = std::chrono::milliseconds(450);
    // A host that has missed a notice gets the complete state after at most this time.
    Core::Duration completeNoticePeriod = std::chrono::milliseconds(1000);
    // Interval between ticks of the replica controllers, between notices of use to holders, and between the holders'
    // load notices. The prompts that a replica receives within a quarter of a second decide whether it interrupts its
    // streams.
    Core::Duration tickPeriod = std::chrono::milliseconds(75);
    // Timeout of a request to another holder to load an adapter.
    Core::Duration adapterTimeout = std::chrono::milliseconds(1100);
};

struct GatewayDependencies {
    Core::Scheduler &scheduler;
    Net::HttpTransport &client;
    Platform::TableService &table;
    Platform::RowFeed &rows;
    Fleet::OrderLink &orders;
    const Protocol &protocol;
    Peer::PeerTransport &transport;
    Metrics::Registry &metrics;
    Net::BufferBudget *budget = nullptr; // For the responses that the host buffers; null for no limit.
    // Creates the source of replicas and configuration from a row feed that the hosts of a zone share.
    std::function<std::unique_ptr<Fleet::DeploymentSource>(Platform::RowFeed &rows)> makeSource;
};

// An entry host that forwards callers' requests to replicas of services. It follows the configuration, the replicas and
// the other hosts, and gives orders to the replicas that it holds.
class Gateway
{
public:
    Gateway(GatewayDependencies dependencies, GatewayOptions options);

    void start();
    // Forwards or refuses a caller's request.
    void handleRequest(const std::shared_ptr<Net::Exchange> &exchange);
    // How a request with this head would be handled now, by the same decisions as in handleRequest(). Changes nothing.
    // The allowance of the account isn't asked for, as that takes from it.
    [[nodiscard]] RequestExplanation explainRequest(const Net::ServerRequest &head,
                                                    const ExplanationOptions &options) const;
    // True if the host has a configuration and the replica list and isn't leaving.
    [[nodiscard]] bool isReady() const;
    // Changes the options of the retry budget.
    void setRetryBudget(const ServiceRetryBudgetOptions &options);
    // The limit on the body of a request by the active configuration; zero if there is none.
    [[nodiscard]] std::size_t maxBodySize() const;
    // Starts a planned stop: the host reports that it isn't ready but still serves requests that arrive.
    void beginLeaving();
    // Refuses requests that arrive from now on, because there is no time left to serve them.
    void refuseNewRequests();
    // Ends the requests that are still open. For the end of a planned stop, after which they would get no answer.
    void endRequests();
    // Releases the replicas that this host holds so that other hosts can claim them. The last step of a planned stop.
    void releaseReplicas(std::function<void()> done);
    [[nodiscard]] Peer::PeerRouter &router();
    [[nodiscard]] const Holding::HolderTable &holders() const;
    [[nodiscard]] const Accounts::AllowanceCounts &allowanceCounts() const;
    // Describes the accounts and what this host knows of their allowances. Changes nothing.
    [[nodiscard]] AccountOverview accountOverview() const;
    // Replicas whose learned speed isn't the usual one of their service.
    [[nodiscard]] Placement::ReplicaSpeed::Counts unusualReplicas() const;

private:
    // Forwards a request whose caller may use the route.
    void forward(const std::shared_ptr<Net::Exchange> &exchange, CallerRequest request, Routes::MatchedRoute route,
                 RequestAccount account);
    // Why this host can't decide about the request, or about any request now.
    [[nodiscard]] std::optional<Refusal> refusalByHost(const Net::ServerRequest &head) const;
    [[nodiscard]] static std::optional<Refusal> refusalByRoute(const CallerRequest &request,
                                                               const Routes::MatchedRoute &route);
    // The account of a request, or why it can't use the route now.
    struct AccountDecision {
        RequestAccount account;
        const Routes::ClientAccount *settings = nullptr; // Null for a request that needs no account.
        std::optional<Refusal> refusal;
    };
    // Identifies the account of a request by its key, or by the name if one is given.
    [[nodiscard]] AccountDecision decideAccount(const CallerRequest &request, const Routes::MatchedRoute &route,
                                                const std::optional<std::string> &name = std::nullopt) const;
    // Why a request that may use its route wouldn't be sent.
    [[nodiscard]] std::optional<Refusal> refusalByForwarding(const CallerRequest &request, const Routes::Route &route,
                                                             const ExplanationOptions &options,
                                                             const FleetExplanation &fleet) const;
    // Takes the cost of the request from the account's allowance, and forwards or refuses it.
    void takeAllowance(const std::shared_ptr<Net::Exchange> &exchange, CallerRequest request,
                       Routes::MatchedRoute route, RequestAccount account);
    void refuseAccount(Net::Exchange &exchange, const CallerRequest &request, const Refusal &refusal,
                       const std::string &account);
    // Whether the key still belongs to the account.
    [[nodiscard]] bool isKeyValid(const std::string &key, const std::string &account) const;
    // Applies the allowances of the active configuration.
    void updateAllowances();
    [[nodiscard]] std::vector<Accounts::LenderCandidate> lenderCandidates() const;
    void applyReplicaChanges(const Fleet::ReplicaChanges &changes, bool isFull);
    void applyConfigurationChanges(Fleet::ConfigurationChanges &&changes);
    void tick();
    // Creates and removes controllers so that there is one for each replica that this host holds.
    void synchronizeControllers();
    // Passes the newest entries and settings to the controllers.
    void updateControllers();
    // The fence number of orders to the replica; empty while this host may send none, because another host holds the
    // replica or because the replica is paused.
    [[nodiscard]] std::optional<std::uint64_t> orderFence(const Core::TargetId &replica) const;
    // The engine settings of the replica's service, or null if the service runs no models or there is no configuration.
    [[nodiscard]] const Routes::EngineSettings *engineOf(const Fleet::Replica &replica) const;
    // The tokens that a replica of the service has memory for; zero if the service runs no models.
    [[nodiscard]] std::uint64_t memoryTokensOf(const std::string &service) const;
    void sendNotices();
    void loadAdapter(const Holding::AdapterRequest &request, std::function<void(const Holding::AdapterReply &)> done);
    void handleAdapterRequest(const Holding::AdapterRequest &request,
                              const std::function<void(const Holding::AdapterReply &)> &reply);
    void handleUseNotice(const Core::HostId &from, const Holding::UseNotice &notice);
    [[nodiscard]] std::vector<Holding::ClaimableReplica> claimableReplicas() const;
    // Adds what the feed needs to know of the reader of the zone and of the other feeds.
    [[nodiscard]] Fleet::FeedOptions withSharedState(Fleet::FeedOptions options);
    // Loads of the replicas that this host holds.
    [[nodiscard]] std::vector<Holding::ReplicaLoad> heldLoads() const;
    // The hosts of the other zones that may read the store for their zone.
    [[nodiscard]] std::vector<Core::HostId> otherReaders() const;
    // Live hosts of all zones.
    [[nodiscard]] std::vector<Routing::QuarantineHost> quarantineHosts() const;
    // Live hosts of this host's zone.
    [[nodiscard]] std::vector<Relay::ZoneHost> zoneHosts() const;

    // A host that uses replicas which this host holds.
    struct Subscriber {
        Core::TimePoint usedAt {}; // Of its last notice of use.
        Core::TimePoint notifiedAt {};
        Core::TimePoint completeAt {}; // Of the last notice with the complete state.
    };

    // Updates the notices of the held replicas. Returns whether any has changed.
    bool advanceNotices();
    void notify(const Core::HostId &host, Subscriber &subscriber, bool isChanged);

    GatewayDependencies m_dependencies;
    GatewayOptions m_options;
    Peer::PeerRouter m_router;
    Routes::RouteTable m_routes;
    Fleet::ReplicaSet m_replicas;
    Fleet::ReleaseTable m_releases;
    FleetView m_fleet;
    ServiceRetryBudget m_retryBudget;
    ConfigurationProof m_configurationProof;
    Routing::Quarantine m_quarantine;
    ReplicaCrashes m_crashes;
    Fleet::PlatformOutage m_outage;
    Relay::ZoneReader m_reader;
    Relay::SharedRowFeed m_rows;
    Relay::SharedWriter m_writer;
    Relay::LoadExchange m_loadExchange;
    std::unique_ptr<Fleet::DeploymentSource> m_deployment;
    Holding::HolderTable m_holders;
    Accounts::AllowanceExchange m_allowances;
    AccountCounters m_accountCounters;
    Fleet::Feed<Fleet::ReplicaChanges> m_replicaFeed;
    Fleet::Feed<Fleet::ConfigurationChanges> m_configurationFeed;
    Fleet::Feed<Platform::FeedResult> m_holderFeed;
    std::map<Core::TargetId, std::unique_ptr<Holding::ReplicaController>> m_controllers;
    std::map<Core::TargetId, Holding::NoticeSeries> m_notices; // Of the replicas that this host holds.
    std::map<Core::HostId, Subscriber> m_subscribers; // Hosts that receive load notices.
    std::vector<std::weak_ptr<ForwardedRequest>> m_requests; // Those that are open, and some that have ended.
    bool m_isLeaving = false;
    bool m_refusesRequests = false;
};

}
