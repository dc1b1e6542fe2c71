#pragma once

#include <LibCore/IdSource.h>
#include <LibPeer/PeerRouter.h>
#include <LibTicket/TicketFeed.h>
#include <LibTicket/TicketMessages.h>
#include <functional>
#include <set>

namespace Ticket {

// A host that can receive hints.
struct GossipPeer {
    Core::HostId id;
    Core::ZoneId zone;
};

struct TicketGossipOptions {
    Core::ZoneId zone;
    std::size_t hintsInZone = 4;
    std::size_t hintsPerOtherZone = 2;
    std::size_t maxEntryBytes = 16 * 1024; // Hosts read larger entries from the table service.
};

// Distributes accepted tickets to other hosts. The accepting host sends a hint to a few random hosts of each zone, and
// each host that receives a hint forwards it once to a few hosts of its own zone. This bounds the number of messages
// that a host sends for a ticket. Hosts that receive no hint find the ticket by polling.
class TicketGossip
{
public:
    // Returns the other hosts that are live and not leaving.
    using PeersFunction = std::function<std::vector<GossipPeer>()>;

    TicketGossip(Peer::PeerRouter &router, Core::IdSource &ids, TicketFeed &feed, PeersFunction peers,
                 TicketGossipOptions options);

    void start();
    // Applies an accepted entry here and sends hints to other hosts.
    void announce(const FeedEntry &entry);

private:
    enum class Scope { OwnZone, AllZones };

    void handleHint(const TicketHint &hint);
    void sendHints(const TicketHint &hint, Scope scope);

    Peer::PeerRouter &m_router;
    Core::IdSource &m_ids;
    TicketFeed &m_feed;
    PeersFunction m_peers;
    TicketGossipOptions m_options;
    std::set<std::uint64_t> m_sentSequences; // The newest sequences for which this host has sent hints.
};

}
