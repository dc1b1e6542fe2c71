#include <LibHost/Host.h>

#include <LibLog/Log.h>
#include <algorithm>
#include <utility>

namespace Host {

Host::Host(const HostPorts &ports, const HostOptions &options)
    : m_ports(ports)
    , m_options(options)
    , m_router(ports.scheduler, ports.transport,
               {.self = options.record.id, .incarnation = options.record.incarnation, .key = options.peerKey})
    , m_directory(ports.scheduler, ports.hostList, options.listRefreshPeriod)
    , m_leases(ports.scheduler, ports.table, options.record, options.leases)
    , m_ownership(ports.scheduler, ports.table, m_router, ports.engines, m_leases, m_directory, options.ownership)
    , m_tickets(ports.scheduler, ports.table, ports.ids, options.tickets)
    , m_desk(ports.table)
    , m_orders(ports.scheduler, ports.engines, m_ownership)
    , m_heldGrants(m_router, m_ownership)
    , m_issuedGrants(ports.scheduler, m_router, m_leases, m_directory, {})
    , m_takeovers(ports.scheduler, m_router, m_ownership, m_leases, m_directory, m_issuedGrants, {})
    , m_owner(ports.scheduler, m_router, m_orders, m_ownership, m_directory, m_issuedGrants, m_takeovers, options.owner)
{
}

void Host::start()
{
    m_directory.start();
    m_leases.start();
    m_ownership.start();
    m_tickets.start();
    m_heldGrants.start();
    m_owner.start();
}

bool Host::isReady() const
{
    const auto &targets = m_directory.all();
    const auto isOfZone = [this](const auto &entry) {
        return entry.second.zone == m_options.record.zone && entry.second.kind == Platform::MachineKind::Engine;
    };
    // A request that came before any owner is known would be refused.
    const bool knowsOwner = std::none_of(targets.begin(), targets.end(), isOfZone)
        || std::any_of(targets.begin(), targets.end(), [&](const auto &entry) {
                                return isOfZone(entry) && m_ownership.ownerOf(entry.first).has_value();
                            });
    return !isLeaving() && m_directory.isFilled() && m_leases.isReady() && m_tickets.isReady() && knowsOwner;
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
                                   .tracer = m_ports.tracer,
                                   .metrics = m_ports.metrics};
    const auto number = ++m_lastRun;
    auto completion = std::make_shared<Front::Completion>(ports, m_options.record.id, m_options.record.zone,
                                                          std::move(request), std::move(answer), [this, number] {
                                                              m_running.erase(number);
                                                              checkLeft();
                                                          });
    m_running.emplace(number, completion);
    completion->start();
    return [weak = std::weak_ptr(completion)] {
        if (const auto running = weak.lock()) {
            running->abandon();
        }
    };
}

void Host::submitTicket(Ticket::Ticket ticket, Ticket::TicketDesk::AcceptFunction done)
{
    const auto number = ticket.number;
    m_desk.accept(std::move(ticket), [this, number, done = std::move(done)](const Ticket::AcceptResult &result) {
        const bool isAccepted = result.outcome == Ticket::AcceptOutcome::Accepted;
        Log::write(isAccepted ? Log::Event::TicketAccepted : Log::Event::TicketRefused,
                   {{"ticket", std::to_string(number)}, {"reason", result.reason}});
        m_tickets.pollSoon();
        done(result);
    });
}

void Host::leave(std::function<void()> done)
{
    m_left = std::move(done);
    m_leases.update([](Membership::HostRecord &record) {
        record.isLeaving = true;
    });
    m_ownership.leave([this] {
        m_isHandedOver = true;
        checkLeft();
    });
    checkLeft();
}

bool Host::isLeaving() const
{
    return m_leases.self().isLeaving;
}

std::size_t Host::runningCount() const
{
    return m_running.size();
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

const Owner::OwnedTargets &Host::owner() const
{
    return m_owner;
}

void Host::checkLeft()
{
    if (m_left && m_running.empty() && m_isHandedOver) {
        m_leases.release(std::exchange(m_left, nullptr));
    }
}

}
