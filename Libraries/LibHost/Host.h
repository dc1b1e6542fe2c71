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

// The outside world as one host sees it. The daemon gives real ones, scenarios give fakes.
struct HostPorts {
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
    Ticket::TicketAcceptorOptions desk;
    ColdStartOptions coldStart;
    Owner::OwnedTargetsOptions owner;
    Front::GrantReturnsOptions grantReturns;
    Routing::RetryBudgetOptions retryBudget;
    Routing::TargetAvoidanceOptions avoidance;
    Routing::OwnerWatchOptions owners;
    Routing::QuarantineTableOptions quarantine;
    Ledger::LedgerOptions ledger;
};

// Every duty of one entry host, joined. It does no input or output of its own.
class Host
{
public:
    Host(const HostPorts &ports, const HostOptions &options);

    void start();
    // True when this host knows the tickets, its peers and the targets.
    [[nodiscard]] bool isReady() const;
    // Starts a caller's request. The returned function is to be called should the caller go away.
    std::function<void()> complete(Front::CompletionRequest request, std::shared_ptr<Front::CallerAnswer> answer);
    // Starts a caller's call to a plain service. The returned function is to be called should the caller go away.
    std::function<void()> callService(Service::ServiceRequest request, std::shared_ptr<Service::ServiceAnswer> answer);
    // Accepts an operator's ticket.
    void submitTicket(Ticket::Ticket ticket, Ticket::TicketAcceptor::AcceptFunction done);
    // Begins a planned stop: tells the other hosts and the platform's balancer, by isReady(), that this host leaves.
    // Requests that still arrive are served. The function runs when nothing has been running here, nor waiting for
    // a target that this host owns, and the ledger is settled, at some time after the grace period.
    void leave(Core::Duration grace, std::function<void()> done);
    [[nodiscard]] bool isLeaving() const;
    // True when this host knows what it needs to serve a request, also while it leaves.
    [[nodiscard]] bool canServe() const;
    // The address at which another host's messages arrive, when it is known.
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
    [[nodiscard]] bool knowsOwners() const;
    void checkLeft();
    [[nodiscard]] std::vector<Ticket::GossipPeer> spreadPeers() const;

    HostPorts m_ports;
    HostOptions m_options;
    Peer::PeerRouter m_router;
    Platform::TargetDirectory m_directory;
    Membership::HostLeases m_leases;
    Membership::TargetOwnership m_ownership;
    TargetNotices m_targetNotices;
    ObservedEngines m_engines;
    Ticket::TicketFeed m_tickets;
    Ticket::TicketAcceptor m_desk;
    Ticket::TicketArchive m_archive;
    Ticket::TicketGossip m_spread;
    ColdStart m_coldStart;
    Owner::OrderGate m_orders;
    Owner::HeldGrants m_heldGrants;
    Owner::IssuedGrants m_issuedGrants;
    Owner::TakeoverGuard m_takeovers;
    Owner::OwnedTargets m_owner;
    Front::GrantReturns m_grantReturns;
    Routing::RetryBudget m_retryBudget;
    Routing::TargetAvoidance m_avoidance;
    Routing::OwnerWatch m_owners;
    Routing::Quarantine m_quarantine;
    Ledger::Ledger m_ledger;
    std::uint64_t m_lastRun = 0;
    std::map<std::uint64_t, std::shared_ptr<Front::Completion>> m_running;
    bool m_isHandedOver = false; // Nothing of this host's is left to hand over.
    std::map<std::uint64_t, std::shared_ptr<Service::ServiceCall>> m_runningCalls;
    std::function<void()> m_left;
};

}
