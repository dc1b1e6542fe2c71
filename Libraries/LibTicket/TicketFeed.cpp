#include <LibTicket/TicketFeed.h>

#include <LibTicket/TicketDesk.h>
#include <LibTicket/TicketJson.h>

namespace Ticket {

TicketFeed::TicketFeed(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
                       TicketFeedOptions options)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_ids(ids)
    , m_options(options)
{
}

void TicketFeed::start()
{
    poll();
}

void TicketFeed::pollSoon()
{
    if (m_isPolling) {
        m_isPollWanted = true;
        return;
    }
    m_scheduler.cancel(m_timer);
    poll();
}

std::shared_ptr<const TicketState> TicketFeed::state() const
{
    return m_state;
}

bool TicketFeed::isReady() const
{
    return m_isReady;
}

void TicketFeed::poll()
{
    m_isPolling = true;
    m_table.scan(Tables::Feed, numberKey(m_state->sequence()), m_options.entriesPerPoll, [this](const auto &result) {
        m_isPolling = false;
        if (result.isAvailable) {
            auto next = std::make_shared<TicketState>(*m_state);
            for (const auto &row : result.rows) {
                // An entry that isn't there yet ends this poll; the next one finds it.
                if (next->apply(feedEntryFromJson(nlohmann::json::parse(row.value)))
                    == TicketState::ApplyOutcome::OutOfOrder) {
                    break;
                }
            }
            m_state = std::move(next);
            m_isReady = true;
            if (result.rows.size() == m_options.entriesPerPoll) {
                m_isPollWanted = true;
            }
        }
        scheduleNextPoll();
    });
}

void TicketFeed::scheduleNextPoll()
{
    if (m_isPollWanted) {
        m_isPollWanted = false;
        poll();
        return;
    }
    // Jitter of a quarter of the period keeps hosts from polling in step.
    const auto jitter = m_options.pollPeriod / 4 * static_cast<int>(m_ids.randomNumber() % 1000) / 1000;
    m_timer = m_scheduler.runAfter(m_options.pollPeriod * 7 / 8 + jitter, [this] {
        poll();
    });
}

}
