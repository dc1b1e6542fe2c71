#include <LibHost/ColdStart.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <LibPlatform/PlatformJson.h>
#include <algorithm>

namespace Host {

namespace {

constexpr std::size_t PeersPerColdStartRequest = 2;
constexpr std::size_t PeersPerUpdateRequest = 1;

}

ColdStart::ColdStart(Core::Scheduler &scheduler, Peer::PeerRouter &router, Core::IdSource &ids,
                     Ticket::TicketFeed &feed, Platform::TargetDirectory &directory, Membership::HostLeases &leases,
                     Membership::OwnershipView &ownership, ColdStartOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_ids(ids)
    , m_feed(feed)
    , m_directory(directory)
    , m_leases(leases)
    , m_ownership(ownership)
    , m_options(std::move(options))
{
}

void ColdStart::start()
{
    m_router.onMessage<SnapshotRequest>([this](const Core::HostId &from, const SnapshotRequest &request) {
        handleRequest(from, request);
    });
    m_router.onMessage<SnapshotReply>([this](const Core::HostId &from, const SnapshotReply &reply) {
        handleReply(from, reply);
    });
    check();
}

std::optional<std::string> ColdStart::addressOf(const Core::HostId &host) const
{
    if (const auto found = m_addresses.find(host); found != m_addresses.end()) {
        return found->second;
    }
    const bool isSeed = std::find(m_options.seeds.begin(), m_options.seeds.end(), host) != m_options.seeds.end();
    return isSeed ? std::optional(host.value) : std::nullopt;
}

void ColdStart::check()
{
    updatePeers();
    if (!isComplete()) {
        requestSnapshots(PeersPerColdStartRequest);
    } else if (needsNewerTickets()) {
        requestSnapshots(PeersPerUpdateRequest);
    }
    m_scheduler.runAfter(m_options.period, [this] {
        check();
    });
}

// The list of peers is kept while the table service doesn't respond, because peers whose leases expire meanwhile may
// still reply.
void ColdStart::updatePeers()
{
    if (m_feed.timeSinceTableResponse() >= m_options.maxTimeBehind && !m_peers.empty()) {
        return;
    }
    m_peers = m_options.seeds;
    for (const auto &host : m_leases.liveHosts()) {
        if (host.id != m_router.self()) {
            m_peers.push_back(host.id);
        }
    }
}

// True when other hosts may have newer tickets that this one can't read.
bool ColdStart::needsNewerTickets()
{
    if (!m_feed.isBehind()) {
        m_behindSince.reset();
    } else if (!m_behindSince.has_value()) {
        m_behindSince = m_scheduler.now();
    }
    const bool isBehindTooLong
        = m_behindSince.has_value() && m_scheduler.now() - *m_behindSince >= m_options.maxTimeBehind;
    const bool isTableRequestDue = m_feed.timeSinceTableResponse() >= m_options.tableTimeout
        && m_scheduler.now() - m_lastRequest >= m_options.tableTimeout;
    return isBehindTooLong || isTableRequestDue;
}

void ColdStart::requestSnapshots(std::size_t limit)
{
    m_lastRequest = m_scheduler.now();
    auto candidates = m_peers;
    const SnapshotRequest request {.sender = Membership::toText(m_leases.self()),
                                   .sequence = m_feed.state()->sequence(),
                                   .isComplete = isComplete()};
    for (; limit > 0 && !candidates.empty(); --limit) {
        const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(m_ids.randomNumber() % candidates.size());
        m_router.send(*chosen, request);
        candidates.erase(chosen);
    }
}

// A host that doesn't have a complete snapshot itself sends no reply, so that the requesting host tries another peer.
void ColdStart::handleRequest(const Core::HostId &from, const SnapshotRequest &request)
{
    Membership::HostRecord sender;
    try {
        sender = Membership::hostRecordFromText(request.sender);
    } catch (const nlohmann::json::exception &) {
        return;
    }
    if (!isComplete() || from == m_router.self() || sender.id != from) {
        return;
    }
    m_addresses[from] = sender.peerAddress;
    if (request.isComplete && request.sequence >= m_feed.state()->sequence()) {
        return;
    }
    SnapshotReply reply {.tickets = Peer::pack(m_feed.state()->snapshot())};
    reply.ticketsHash = Core::stableHash(reply.tickets);
    for (const auto &host : m_leases.liveHosts()) {
        if (host.zone == sender.zone || host.id == m_router.self()) {
            reply.hosts.push_back(Membership::toText(host));
        }
    }
    for (const auto &machine : m_directory.listedIn(sender.zone)) {
        reply.machines.push_back(Platform::toJson(machine).dump());
        if (const auto known = m_ownership.ownerOf({machine.name}); known.has_value()) {
            reply.owners.push_back({.target = known->target, .owner = known->owner, .fence = known->fence});
        }
    }
    m_router.send(from, reply);
}

void ColdStart::handleReply(const Core::HostId &from, const SnapshotReply &reply)
{
    try {
        if (Core::stableHash(reply.tickets) != reply.ticketsHash) {
            Log::write(Log::Event::SnapshotRefused, {{"peer", from.value}, {"reason", "hash mismatch"}});
            return;
        }
        const auto snapshot = Peer::unpack<Ticket::TicketSnapshot>(reply.tickets);
        std::vector<Platform::ListedMachine> machines;
        for (const auto &text : reply.machines) {
            machines.push_back(Platform::machineFromJson(nlohmann::json::parse(text)));
        }
        std::vector<Membership::HostRecord> hosts;
        for (const auto &text : reply.hosts) {
            hosts.push_back(Membership::hostRecordFromText(text));
        }
        Log::write(Log::Event::SnapshotTaken, {{"peer", from.value}, {"sequence", std::to_string(snapshot.sequence)}});
        m_feed.adopt(Ticket::TicketState(snapshot));
        if (!m_directory.isFilled()) {
            m_directory.apply(machines);
        }
        for (const auto &[target, owner, fence] : reply.owners) {
            (void)m_ownership.recordOwnership({.target = target, .owner = owner, .fence = fence});
        }
        if (!m_leases.isReady()) {
            for (const auto &host : hosts) {
                m_leases.recordHost(host);
            }
        }
    } catch (const nlohmann::json::exception &error) {
        Log::write(Log::Event::SnapshotRefused, {{"peer", from.value}, {"reason", error.what()}});
    }
}

bool ColdStart::isComplete() const
{
    return m_feed.isReady() && m_directory.isFilled() && m_leases.isReady();
}

}
