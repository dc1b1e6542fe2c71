#pragma once

#include <LibCore/IdSource.h>
#include <LibPeer/PeerRouter.h>
#include <LibTicket/TicketFeed.h>
#include <LibTicket/TicketMessages.h>
#include <functional>
#include <set>

namespace Ticket {

// Another host that hints may go to.
struct GossipPeer {
    Core::HostId id;
    Core::ZoneId zone;
};

struct TicketGossipOptions {
    Core::ZoneId zone;
    std::size_t hintsInZone = 4;
    std::size_t hintsPerOtherZone = 2;
    std::size_t longestEntry = 16 * 1024; // Bytes; a longer one is read from the table service.
};

// Passes accepted tickets on to other hosts. The accepting host tells a few hosts of its own zone and of every
// other one; each host that is told tells a few of its zone, once. So no host sends more than a bounded number of
// messages for a ticket, and one that is missed finds the ticket by polling.
class TicketGossip
{
public:
    // The other hosts that are live and not leaving.
    using PeersFunction = std::function<std::vector<GossipPeer>()>;

    TicketGossip(Peer::PeerRouter &router, Core::IdSource &ids, TicketFeed &feed, PeersFunction peers,
                 TicketGossipOptions options);

    void start();
    // Puts an accepted entry in force here and tells other hosts of it.
    void announce(const FeedEntry &entry);

private:
    enum class Reach { OwnZone, AllZones };

    void take(const TicketHint &hint);
    void passOn(const TicketHint &hint, Reach reach);

    Peer::PeerRouter &m_router;
    Core::IdSource &m_ids;
    TicketFeed &m_feed;
    PeersFunction m_peers;
    TicketGossipOptions m_options;
    std::set<std::uint64_t> m_passedOn; // The newest sequences that this host has told others of.
};

}
