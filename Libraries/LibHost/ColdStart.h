#pragma once

#include <LibCore/IdSource.h>
#include <LibHost/SnapshotMessages.h>
#include <LibMembership/HostLeases.h>
#include <LibMembership/OwnershipView.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <LibTicket/TicketFeed.h>
#include <unordered_map>

namespace Host {

struct ColdStartOptions {
    std::vector<Core::HostId> seeds; // Peer addresses from the settings, used as host ids.
    Core::Duration period = std::chrono::milliseconds(500);
    // How long an accepted ticket may stay unreadable before this host requests a snapshot from a peer.
    Core::Duration maxTimeBehind = std::chrono::milliseconds(1000);
    // The time without a response from the table service after which this host requests newer tickets from a peer. It
    // repeats the request at this interval.
    Core::Duration tableTimeout = std::chrono::milliseconds(3000);
};

// Requests snapshots from peers when the platform is unavailable: the tickets in force, and the hosts and targets of
// the zone. It does so while this host knows too little to serve, when a ticket that it knows of stays unreadable, and
// while the table service doesn't respond. It also replies to the snapshot requests of other hosts.
class ColdStart
{
public:
    ColdStart(Core::Scheduler &scheduler, Peer::PeerRouter &router, Core::IdSource &ids, Ticket::TicketFeed &feed,
              Platform::TargetDirectory &directory, Membership::HostLeases &leases,
              Membership::OwnershipView &ownership, ColdStartOptions options);

    void start();
    // The address of a host whose row hasn't been read, if the host is a seed or has sent a snapshot request.
    [[nodiscard]] std::optional<std::string> addressOf(const Core::HostId &host) const;

private:
    void check();
    void updatePeers();
    [[nodiscard]] bool needsNewerTickets();
    void requestSnapshots(std::size_t limit);
    void handleRequest(const Core::HostId &from, const SnapshotRequest &request);
    void handleReply(const Core::HostId &from, const SnapshotReply &reply);
    [[nodiscard]] bool isComplete() const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Core::IdSource &m_ids;
    Ticket::TicketFeed &m_feed;
    Platform::TargetDirectory &m_directory;
    Membership::HostLeases &m_leases;
    Membership::OwnershipView &m_ownership;
    ColdStartOptions m_options;
    std::unordered_map<Core::HostId, std::string> m_addresses;
    std::vector<Core::HostId> m_peers; // As of the last response from the table service.
    std::optional<Core::TimePoint> m_behindSince;
    Core::TimePoint m_lastRequest {};
};

}
