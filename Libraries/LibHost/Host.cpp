#include <LibHost/Host.h>

#include <LibLog/Log.h>
#include <algorithm>
#include <utility>

namespace Host {

namespace {

constexpr auto LeaveCheckPeriod = std::chrono::milliseconds(20);

}

Host::Host(const HostPorts &ports, const HostOptions &options)
    : m_ports(ports)
    , m_options(options)
    , m_router(ports.scheduler, ports.transport,
               {.self = options.record.id, .incarnation = options.record.incarnation, .key = options.peerKey})
    , m_directory(ports.scheduler, ports.hostList, options.listRefreshPeriod)
    , m_leases(ports.scheduler, ports.table, options.record, options.leases)
    , m_ownership(ports.scheduler, ports.table, m_router, ports.engines, m_leases, m_directory, options.ownership)
    , m_targetNotices(m_router, m_directory, m_leases)
    , m_engines(ports.engines,
                [this](const Core::TargetId &target, const Engine::EngineStatus &status) {
                    m_targetNotices.take(target, status);
                })
    , m_tickets(ports.scheduler, ports.table, ports.ids, options.tickets)
    , m_desk(
          ports.scheduler, ports.table, ports.ids,
          [this] {
              return m_tickets.state()->sequence();
          },
          options.desk)
    , m_archive(ports.table)
    , m_spread(m_router, ports.ids, m_tickets,
               [this] {
                   return spreadPeers();
               },
               {.zone = options.record.zone})
    , m_coldStart(ports.scheduler, m_router, ports.ids, m_tickets, m_directory, m_leases, m_ownership,
                  options.coldStart)
    , m_orders(ports.scheduler, m_engines, m_ownership)
    , m_heldGrants(m_router, m_ownership)
    , m_issuedGrants(ports.scheduler, m_router, m_leases, m_directory, {})
    , m_takeovers(ports.scheduler, m_router, m_ownership, m_leases, m_directory, m_issuedGrants, {})
    , m_owner(ports.scheduler, m_router, m_orders, m_ownership, m_directory, m_issuedGrants, m_takeovers, ports.tracer,
              options.owner)
    , m_grantReturns(ports.scheduler, m_router, m_heldGrants, ports.engines, m_directory, options.grantReturns)
    , m_retryBudget(options.retryBudget)
    , m_avoidance(options.avoidance)
    , m_owners(ports.scheduler, m_router, options.owners)
    , m_quarantine(ports.scheduler, m_router, m_leases, options.quarantine)
    , m_ledger({.scheduler = ports.scheduler, .table = ports.table, .router = m_router, .metrics = ports.metrics},
               ports.ids, options.record.id, options.record.incarnation, options.ledger)
{
}

void Host::start()
{
    m_directory.start();
    m_leases.start();
    m_ownership.start();
    m_tickets.onChange([this](const Ticket::TicketState &state) {
        m_leases.setTicketSequence(state.sequence());
    });
    m_tickets.start();
    m_spread.start();
    m_coldStart.start();
    m_targetNotices.start();
    m_heldGrants.start();
    m_owner.start();
    m_owners.start();
    m_quarantine.start();
}

bool Host::isReady() const
{
    return !isLeaving() && canServe() && knowsOwners();
}

bool Host::canServe() const
{
    return m_directory.isFilled() && m_leases.isReady() && m_tickets.isReady();
}

// A request that came before any owner is known would be refused.
bool Host::knowsOwners() const
{
    const auto &targets = m_directory.all();
    const auto isOfZone = [this](const auto &entry) {
        return entry.second.zone == m_options.record.zone && entry.second.kind == Platform::MachineKind::Engine;
    };
    return std::none_of(targets.begin(), targets.end(), isOfZone)
        || std::any_of(targets.begin(), targets.end(), [&](const auto &entry) {
               return isOfZone(entry) && m_ownership.ownerOf(entry.first).has_value();
           });
}

std::optional<std::string> Host::peerAddress(const Core::HostId &host) const
{
    if (const auto peer = m_leases.find(host); peer.has_value()) {
        return peer->peerAddress;
    }
    return m_coldStart.addressOf(host);
}

std::function<void()> Host::complete(Front::CompletionRequest request, std::shared_ptr<Front::CallerAnswer> answer)
{
    const Front::FrontPorts ports {.scheduler = m_ports.scheduler,
                                   .ids = m_ports.ids,
                                   .router = m_router,
                                   .engines = m_ports.engines,
                                   .ownership = m_ownership,
                                   .heldGrants = m_heldGrants,
                                   .directory = m_directory,
                                   .tickets = m_tickets,
                                   .grantReturns = m_grantReturns,
                                   .retryBudget = m_retryBudget,
                                   .avoidance = m_avoidance,
                                   .owners = m_owners,
                                   .quarantine = m_quarantine,
                                   .tracer = m_ports.tracer,
                                   .metrics = m_ports.metrics};
    const auto number = ++m_lastRun;
    auto completion = std::make_shared<Front::Completion>(ports, m_options.record.id, m_options.record.zone,
                                                          std::move(request), std::move(answer), [this, number] {
                                                              m_running.erase(number);
                                                          });
    m_running.emplace(number, completion);
    completion->start();
    return [weak = std::weak_ptr(completion)] {
        if (const auto running = weak.lock()) {
            running->abandon();
        }
    };
}

std::function<void()> Host::callService(Service::ServiceRequest request, std::shared_ptr<Service::ServiceAnswer> answer)
{
    const Service::ServicePorts ports {.scheduler = m_ports.scheduler,
                                       .ids = m_ports.ids,
                                       .ledger = m_ledger,
                                       .link = m_ports.services,
                                       .directory = m_directory,
                                       .tickets = m_tickets,
                                       .tracer = m_ports.tracer,
                                       .metrics = m_ports.metrics,
                                       .zone = m_options.record.zone};
    const auto number = ++m_lastRun;
    auto call = std::make_shared<Service::ServiceCall>(ports, std::move(request), std::move(answer), [this, number] {
        m_runningCalls.erase(number);
        checkLeft();
    });
    m_runningCalls.emplace(number, call);
    call->start();
    return [weak = std::weak_ptr(call)] {
        if (const auto running = weak.lock()) {
            running->abandon();
        }
    };
}

void Host::submitTicket(Ticket::Ticket ticket, Ticket::TicketAcceptor::AcceptFunction done)
{
    const auto number = ticket.number;
    m_desk.accept(std::move(ticket), [this, number, done = std::move(done)](const Ticket::AcceptResult &result) {
        const bool isAccepted = result.outcome == Ticket::AcceptOutcome::Accepted;
        Log::write(isAccepted ? Log::Event::TicketAccepted : Log::Event::TicketRefused,
                   {{"ticket", std::to_string(number)}, {"reason", result.reason}});
        if (result.entry.has_value()) {
            m_spread.announce(*result.entry);
        }
        m_tickets.pollSoon();
        done(result);
    });
}

void Host::leave(Core::Duration grace, std::function<void()> done)
{
    m_left = std::move(done);
    m_leases.update([](Membership::HostRecord &record) {
        record.isLeaving = true;
    });
    m_ownership.leave([this] {
        m_isHandedOver = true;
    });
    m_ports.scheduler.runAfter(grace, [this] {
        checkLeft();
    });
}

bool Host::isLeaving() const
{
    return m_leases.self().isLeaving;
}

std::size_t Host::runningCount() const
{
    return m_running.size() + m_runningCalls.size();
}

Peer::PeerRouter &Host::router()
{
    return m_router;
}

const Membership::HostLeases &Host::leases() const
{
    return m_leases;
}

const Membership::OwnershipView &Host::ownership() const
{
    return m_ownership;
}

const Platform::TargetDirectory &Host::directory() const
{
    return m_directory;
}

const Ticket::TicketFeed &Host::tickets() const
{
    return m_tickets;
}

Ticket::TicketArchive &Host::ticketArchive()
{
    return m_archive;
}

const Owner::OwnedTargets &Host::owner() const
{
    return m_owner;
}

const Routing::Quarantine &Host::quarantine() const
{
    return m_quarantine;
}

std::vector<Ticket::GossipPeer> Host::spreadPeers() const
{
    std::vector<Ticket::GossipPeer> peers;
    for (const auto &host : m_leases.liveHosts()) {
        if (host.id != m_options.record.id && !host.isLeaving) {
            peers.push_back({.id = host.id, .zone = host.zone});
        }
    }
    return peers;
}

const Ledger::Ledger &Host::ledger() const
{
    return m_ledger;
}

// Other hosts' requests that wait for a target of this host's end here too, so that they are counted.
void Host::checkLeft()
{
    const bool isIdle = runningCount() == 0 && m_owner.waitingCount() == 0;
    if (isIdle && m_isHandedOver && m_ledger.unsettledCount() == 0) {
        m_leases.release(std::exchange(m_left, nullptr));
        return;
    }
    m_ports.scheduler.runAfter(LeaveCheckPeriod, [this] {
        checkLeft();
    });
}

}
