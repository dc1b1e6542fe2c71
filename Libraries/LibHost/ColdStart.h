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
    std::vector<Core::HostId> seeds; // Peers' addresses from the settings, in place of their names.
    Core::Duration period = std::chrono::milliseconds(500);
    // How long a host that can't read an accepted ticket waits before it asks a peer.
    Core::Duration mostTimeBehind = std::chrono::milliseconds(1000);
    // After so long a silence of the table service a host asks peers for newer tickets, and again as often.
    Core::Duration mostTableSilence = std::chrono::milliseconds(3000);
};

// Gets from peers what the platform doesn't give: the tickets in force, the hosts and the targets of the zone. It
// asks while this host knows too little to serve, when a ticket that it knows of stays out of reach, and while the
// table service is silent. It also answers other hosts that ask.
class ColdStart
{
public:
    ColdStart(Core::Scheduler &scheduler, Peer::PeerRouter &router, Core::IdSource &ids, Ticket::TicketFeed &feed,
              Platform::TargetDirectory &directory, Membership::HostLeases &leases,
              Membership::OwnershipView &ownership, ColdStartOptions options);

    void start();
    // The address at which a host is reached whose row hasn't been read: a seed, or one that has asked here.
    [[nodiscard]] std::optional<std::string> addressOf(const Core::HostId &host) const;

private:
    void check();
    void rememberPeers();
    [[nodiscard]] bool isOvertaken();
    void ask(std::size_t most);
    void answer(const Core::HostId &from, const SnapshotRequest &request);
    void take(const Core::HostId &from, const SnapshotReply &reply);
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
    std::vector<Core::HostId> m_peers; // As they were when the table service last answered.
    std::optional<Core::TimePoint> m_behindSince;
    Core::TimePoint m_askedAt {};
};

}
