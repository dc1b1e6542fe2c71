#pragma once

#include <LibCore/IdSource.h>
#include <LibFront/Completion.h>
#include <LibHost/ColdStart.h>
#include <LibHost/ObservedEngines.h>
#include <LibHost/TargetNotices.h>
#include <LibMembership/HostLeases.h>
#include <LibMembership/TargetOwnership.h>
#include <LibOwner/HeldGrants.h>
#include <LibOwner/OrderGate.h>
#include <LibOwner/OwnedTargets.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <LibService/ServiceCall.h>
#include <LibTicket/TicketAcceptor.h>
#include <LibTicket/TicketArchive.h>
#include <LibTicket/TicketFeed.h>
#include <LibTicket/TicketGossip.h>
#include <map>

namespace Host {

// The clock, connections and other external services that a host uses. The daemon passes real ones, scenarios pass
// fakes.
struct HostDependencies {
    Core::Scheduler &scheduler;
    Platform::TableService &table;
    Platform::HostList &hostList;
    Peer::PeerTransport &transport;
    Engine::EngineLink &engines;
    Service::ServiceLink &services;
    Core::IdSource &ids;
    Trace::Tracer &tracer;
    Metrics::Registry &metrics;
};

struct HostOptions {
    Membership::HostRecord record;
    std::string peerKey;
    Core::Duration listRefreshPeriod = std::chrono::milliseconds(1000);
    Membership::HostLeasesOptions leases;
    Membership::TargetOwnershipOptions ownership;
    Ticket::TicketFeedOptions tickets;
    Ticket::TicketAcceptorOptions acceptor;
    ColdStartOptions coldStart;
    Owner::OwnedTargetsOptions owner;
    Front::GrantReleaserOptions grantReleaser;
    Routing::RetryBudgetOptions retryBudget;
    Routing::TargetAvoidanceOptions avoidance;
    Routing::OwnerWatchOptions owners;
    Routing::QuarantineOptions quarantine;
    Ledger::LedgerOptions ledger;
};

// Builds and connects the components of one entry host. It does no input or output of its own.
class Host
{
public:
    Host(const HostDependencies &dependencies, const HostOptions &options);

    void start();
    // True when this host can serve requests, knows an owner of some target in its zone if there are any, and isn't
    // leaving.
    [[nodiscard]] bool isReady() const;
    // Starts a caller's request. Call the returned function if the caller disconnects.
    std::function<void()> complete(Front::CompletionRequest request, std::shared_ptr<Front::CallerResponse> response);
    // Starts a caller's call to a service that isn't an engine. Call the returned function if the caller disconnects.
    std::function<void()> callService(Service::ServiceRequest request,
                                      std::shared_ptr<Service::ServiceResponse> response);
    // Submits an operator's ticket for acceptance.
    void submitTicket(Ticket::Ticket ticket, Ticket::TicketAcceptor::AcceptFunction done);
    // Begins a planned shutdown. It announces the departure to the other hosts, and through isReady() to the platform's
    // load balancer; requests that still arrive are served. After the grace period, the function runs once no request
    // is running here or waiting for a target of this host, ownership has been handed over and the ledger has no
    // unresolved attempts.
    void leave(Core::Duration grace, std::function<void()> done);
    [[nodiscard]] bool isLeaving() const;
    // True when this host knows the tickets, its peers and the targets. This also holds while it is leaving.
    [[nodiscard]] bool canServe() const;
    // The address to which messages for another host are sent, if known.
    [[nodiscard]] std::optional<std::string> peerAddress(const Core::HostId &host) const;
    [[nodiscard]] std::size_t runningCount() const;

    [[nodiscard]] Peer::PeerRouter &router();
    [[nodiscard]] const Membership::HostLeases &leases() const;
    [[nodiscard]] const Membership::OwnershipView &ownership() const;
    [[nodiscard]] const Platform::TargetDirectory &directory() const;
    [[nodiscard]] const Ticket::TicketFeed &tickets() const;
    [[nodiscard]] Ticket::TicketArchive &ticketArchive();
    [[nodiscard]] const Owner::OwnedTargets &owner() const;
    [[nodiscard]] const Routing::Quarantine &quarantine() const;
    [[nodiscard]] const Ledger::Ledger &ledger() const;

private:
    [[nodiscard]] bool isOwnershipKnown() const;
    void finishLeaving();
    [[nodiscard]] std::vector<Ticket::GossipPeer> gossipPeers() const;

    HostDependencies m_dependencies;
    HostOptions m_options;
    Peer::PeerRouter m_router;
    Platform::TargetDirectory m_directory;
    Membership::HostLeases m_leases;
    Membership::TargetOwnership m_ownership;
    TargetNotices m_targetNotices;
    ObservedEngines m_engines;
    Ticket::TicketFeed m_tickets;
    Ticket::TicketAcceptor m_acceptor;
    Ticket::TicketArchive m_archive;
    Ticket::TicketGossip m_gossip;
    ColdStart m_coldStart;
    Owner::OrderGate m_orders;
    Owner::HeldGrants m_heldGrants;
    Owner::IssuedGrants m_issuedGrants;
    Owner::TakeoverGuard m_takeovers;
    Owner::OwnedTargets m_owner;
    Front::GrantReleaser m_grantReleaser;
    Routing::RetryBudget m_retryBudget;
    Routing::TargetAvoidance m_avoidance;
    Routing::OwnerWatch m_owners;
    Routing::Quarantine m_quarantine;
    Ledger::Ledger m_ledger;
    std::uint64_t m_lastRequestNumber = 0;
    std::map<std::uint64_t, std::shared_ptr<Front::Completion>> m_runningCompletions;
    bool m_isHandedOver = false; // All targets of this host have been handed over.
    std::map<std::uint64_t, std::shared_ptr<Service::ServiceCall>> m_runningCalls;
    std::function<void()> m_onLeft;
};

}
