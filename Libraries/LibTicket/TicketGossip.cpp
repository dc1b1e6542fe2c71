#include <LibTicket/TicketGossip.h>

#include <LibTicket/TicketJson.h>
#include <map>

namespace Ticket {

namespace {

constexpr std::size_t MostRememberedSequences = 256;

}

TicketGossip::TicketGossip(Peer::PeerRouter &router, Core::IdSource &ids, TicketFeed &feed, PeersFunction peers,
                           TicketGossipOptions options)
    : m_router(router)
    , m_ids(ids)
    , m_feed(feed)
    , m_peers(std::move(peers))
    , m_options(std::move(options))
{
}

void TicketGossip::start()
{
    m_router.onMessage<TicketHint>([this](const Core::HostId & /*from*/, const TicketHint &hint) {
        take(hint);
    });
}

void TicketGossip::announce(const FeedEntry &entry)
{
    m_feed.offer(entry);
    auto text = toJson(entry).dump();
    if (text.size() > m_options.longestEntry) {
        text.clear();
    }
    passOn({.sequence = entry.sequence, .entry = std::move(text)}, Reach::AllZones);
}

void TicketGossip::take(const TicketHint &hint)
{
    const auto entry = feedEntryFromText(hint.entry);
    if (entry.has_value() && entry->sequence == hint.sequence) {
        m_feed.offer(*entry);
    } else {
        m_feed.expectSequence(hint.sequence);
    }
    passOn(hint, Reach::OwnZone);
}

void TicketGossip::passOn(const TicketHint &hint, Reach reach)
{
    if (!m_passedOn.insert(hint.sequence).second) {
        return;
    }
    if (m_passedOn.size() > MostRememberedSequences) {
        m_passedOn.erase(m_passedOn.begin());
    }
    std::map<Core::ZoneId, std::vector<Core::HostId>> peersByZone;
    for (const auto &peer : m_peers()) {
        if (reach == Reach::AllZones || peer.zone == m_options.zone) {
            peersByZone[peer.zone].push_back(peer.id);
        }
    }
    for (auto &[zone, peers] : peersByZone) {
        auto left = zone == m_options.zone ? m_options.hintsInZone : m_options.hintsPerOtherZone;
        for (; left > 0 && !peers.empty(); --left) {
            const auto chosen = peers.begin() + static_cast<std::ptrdiff_t>(m_ids.randomNumber() % peers.size());
            m_router.send(*chosen, hint);
            peers.erase(chosen);
        }
    }
}

}
