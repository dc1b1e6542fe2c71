#include <LibTicket/TicketGossip.h>

#include <LibTicket/TicketJson.h>
#include <map>

namespace Ticket {

namespace {

constexpr std::size_t MaxRememberedSequences = 256;

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
        handleHint(hint);
    });
}

void TicketGossip::announce(const FeedEntry &entry)
{
    m_feed.offer(entry);
    auto text = toJson(entry).dump();
    if (text.size() > m_options.maxEntryBytes) {
        text.clear();
    }
    sendHints({.sequence = entry.sequence, .entry = std::move(text)}, Scope::AllZones);
}

void TicketGossip::handleHint(const TicketHint &hint)
{
    const auto entry = feedEntryFromText(hint.entry);
    if (entry.has_value() && entry->sequence == hint.sequence) {
        m_feed.offer(*entry);
    } else {
        m_feed.expectSequence(hint.sequence);
    }
    sendHints(hint, Scope::OwnZone);
}

void TicketGossip::sendHints(const TicketHint &hint, Scope scope)
{
    if (!m_sentSequences.insert(hint.sequence).second) {
        return;
    }
    if (m_sentSequences.size() > MaxRememberedSequences) {
        m_sentSequences.erase(m_sentSequences.begin());
    }
    std::map<Core::ZoneId, std::vector<Core::HostId>> peersByZone;
    for (const auto &peer : m_peers()) {
        if (scope == Scope::AllZones || peer.zone == m_options.zone) {
            peersByZone[peer.zone].push_back(peer.id);
        }
    }
    for (auto &[zone, peers] : peersByZone) {
        auto remaining = zone == m_options.zone ? m_options.hintsInZone : m_options.hintsPerOtherZone;
        for (; remaining > 0 && !peers.empty(); --remaining) {
            const auto chosen = peers.begin() + static_cast<std::ptrdiff_t>(m_ids.randomNumber() % peers.size());
            m_router.send(*chosen, hint);
            peers.erase(chosen);
        }
    }
}

}
