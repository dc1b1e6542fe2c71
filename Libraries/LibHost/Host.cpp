#include <LibHost/Host.h>

#include <LibLog/Log.h>
#include <algorithm>
#include <utility>

namespace Host {

namespace {

constexpr auto LeaveCheckPeriod = std::chrono::milliseconds(20);

}

Host::Host(const HostDependencies &dependencies, const HostOptions &options)
    : m_dependencies(dependencies)
    , m_options(options)
    , m_router(dependencies.scheduler, dependencies.transport,
               {.self = options.record.id, .incarnation = options.record.incarnation, .key = options.peerKey})
    , m_directory(dependencies.scheduler, dependencies.hostList, options.listRefreshPeriod)
    , m_leases(dependencies.scheduler, dependencies.table, options.record, options.leases)
    , m_ownership(dependencies.scheduler, dependencies.table, m_router, dependencies.engines, m_leases, m_directory,
                  options.ownership)
    , m_targetNotices(m_router, m_directory, m_leases)
    , m_engines(dependencies.engines,
                [this](const Core::TargetId &target, const Engine::EngineStatus &status) {
                    m_targetNotices.handleReport(target, status);
                })
    , m_tickets(dependencies.scheduler, dependencies.table, dependencies.ids, options.tickets)
    , m_acceptor(
          dependencies.scheduler, dependencies.table, dependencies.ids,
          [this] {
              return m_tickets.state()->sequence();
          },
          options.acceptor)
    , m_archive(dependencies.table)
    , m_gossip(m_router, dependencies.ids, m_tickets,
               [this] {
                   return gossipPeers();
               },
               {.zone = options.record.zone})
    , m_coldStart(dependencies.scheduler, m_router, dependencies.ids, m_tickets, m_directory, m_leases, m_ownership,
                  options.coldStart)
    , m_orders(dependencies.scheduler, m_engines, m_ownership)
    , m_heldGrants(m_router, m_ownership)
    , m_issuedGrants(dependencies.scheduler, m_router, m_leases, m_directory, {})
    , m_takeovers(dependencies.scheduler, m_router, m_ownership, m_leases, m_directory, m_issuedGrants, {})
    , m_owner(dependencies.scheduler, m_router, m_orders, m_ownership, m_directory, m_issuedGrants, m_takeovers,
              dependencies.tracer, options.owner)
    , m_grantReleaser(dependencies.scheduler, m_router, m_heldGrants, dependencies.engines, m_directory,
                      options.grantReleaser)
    , m_retryBudget(options.retryBudget)
    , m_avoidance(options.avoidance)
    , m_owners(dependencies.scheduler, m_router, options.owners)
    , m_quarantine(dependencies.scheduler, m_router,
                   {.self = {.id = options.record.id, .zone = options.record.zone},
                    .live =
                        [this] {
                            std::vector<Routing::QuarantineHost> hosts;
                            for (const auto &host : m_leases.liveHosts()) {
                                hosts.push_back({.id = host.id, .zone = host.zone});
                            }
                            return hosts;
                        }},
                   options.quarantine)
    , m_ledger({.scheduler = dependencies.scheduler,
                .table = dependencies.table,
                .router = m_router,
                .metrics = dependencies.metrics},
               dependencies.ids, options.record.id, options.record.incarnation, options.ledger)
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
    m_gossip.start();
    m_coldStart.start();
    m_targetNotices.start();
    m_heldGrants.start();
    m_owner.start();
    m_owners.start();
    m_quarantine.start();
}

bool Host::isReady() const
{
    return !isLeaving() && canServe() && isOwnershipKnown();
}

bool Host::canServe() const
{
    return m_directory.isFilled() && m_leases.isReady() && m_tickets.isReady();
}

// Until an owner of a target in this zone is known, requests would be refused.
bool Host::isOwnershipKnown() const
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

std::function<void()> Host::complete(Front::CompletionRequest request, std::shared_ptr<Front::CallerResponse> response)
{
    const Front::FrontDependencies dependencies {.scheduler = m_dependencies.scheduler,
                                                 .ids = m_dependencies.ids,
                                                 .router = m_router,
                                                 .engines = m_dependencies.engines,
                                                 .ownership = m_ownership,
                                                 .heldGrants = m_heldGrants,
                                                 .directory = m_directory,
                                                 .tickets = m_tickets,
                                                 .grantReleaser = m_grantReleaser,
                                                 .retryBudget = m_retryBudget,
                                                 .avoidance = m_avoidance,
                                                 .owners = m_owners,
                                                 .quarantine = m_quarantine,
                                                 .tracer = m_dependencies.tracer,
                                                 .metrics = m_dependencies.metrics};
    const auto number = ++m_lastRequestNumber;
    auto completion = std::make_shared<Front::Completion>(dependencies, m_options.record.id, m_options.record.zone,
                                                          std::move(request), std::move(response), [this, number] {
                                                              m_runningCompletions.erase(number);
                                                          });
    m_runningCompletions.emplace(number, completion);
    completion->start();
    return [weak = std::weak_ptr(completion)] {
        if (const auto running = weak.lock()) {
            running->abandon();
        }
    };
}

std::function<void()> Host::callService(Service::ServiceRequest request,
                                        std::shared_ptr<Service::ServiceResponse> response)
{
    const Service::ServiceDependencies dependencies {.scheduler = m_dependencies.scheduler,
                                                     .ids = m_dependencies.ids,
                                                     .ledger = m_ledger,
                                                     .link = m_dependencies.services,
                                                     .directory = m_directory,
                                                     .tickets = m_tickets,
                                                     .tracer = m_dependencies.tracer,
                                                     .metrics = m_dependencies.metrics,
                                                     .zone = m_options.record.zone};
    const auto number = ++m_lastRequestNumber;
    auto call
        = std::make_shared<Service::ServiceCall>(dependencies, std::move(request), std::move(response), [this, number] {
              m_runningCalls.erase(number);
              finishLeaving();
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
    m_acceptor.accept(std::move(ticket), [this, number, done = std::move(done)](const Ticket::AcceptResult &result) {
        const bool isAccepted = result.outcome == Ticket::AcceptOutcome::Accepted;
        Log::write(isAccepted ? Log::Event::TicketAccepted : Log::Event::TicketRefused,
                   {{"ticket", std::to_string(number)}, {"reason", result.reason}});
        if (result.entry.has_value()) {
            m_gossip.announce(*result.entry);
        }
        m_tickets.pollSoon();
        done(result);
    });
}

void Host::leave(Core::Duration grace, std::function<void()> done)
{
    m_onLeft = std::move(done);
    m_leases.update([](Membership::HostRecord &record) {
        record.isLeaving = true;
    });
    m_ownership.leave([this] {
        m_isHandedOver = true;
    });
    m_dependencies.scheduler.runAfter(grace, [this] {
        finishLeaving();
    });
}

bool Host::isLeaving() const
{
    return m_leases.self().isLeaving;
}

std::size_t Host::runningCount() const
{
    return m_runningCompletions.size() + m_runningCalls.size();
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

std::vector<Ticket::GossipPeer> Host::gossipPeers() const
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

// Releases the lease once nothing is left to finish, and otherwise checks again later. Requests of other hosts that
// wait for a target of this host must end too.
void Host::finishLeaving()
{
    const bool isIdle = runningCount() == 0 && m_owner.waitingCount() == 0;
    if (isIdle && m_isHandedOver && m_ledger.unresolvedCount() == 0) {
        m_leases.release(std::exchange(m_onLeft, nullptr));
        return;
    }
    m_dependencies.scheduler.runAfter(LeaveCheckPeriod, [this] {
        finishLeaving();
    });
}

}
