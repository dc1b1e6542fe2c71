#include <LibTicket/TicketFeed.h>

#include <LibLog/Log.h>
#include <LibTicket/TicketJson.h>
#include <LibTicket/TicketTables.h>
#include <algorithm>

namespace Ticket {

namespace {

constexpr std::size_t MaxEarlyEntries = 256;

}

TicketFeed::TicketFeed(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
                       TicketFeedOptions options)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_ids(ids)
    , m_options(options)
    , m_catchUpPeriod(options.initialCatchUpPeriod)
    , m_lastResponseAt(scheduler.now())
{
}

void TicketFeed::onChange(ChangeFunction changed)
{
    m_changed = std::move(changed);
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

void TicketFeed::offer(const FeedEntry &entry)
{
    if (entry.sequence <= m_state->sequence()) {
        return;
    }
    if (m_earlyEntries.size() < MaxEarlyEntries) {
        m_earlyEntries.emplace(entry.sequence, entry);
    }
    if (entry.sequence == m_state->sequence() + 1) {
        auto next = *m_state;
        applyEarlyEntries(next);
        publish(std::move(next));
    }
    expectSequence(entry.sequence);
}

void TicketFeed::expectSequence(std::uint64_t sequence)
{
    if (sequence <= std::max(m_expectedSequence, m_state->sequence())) {
        return;
    }
    m_expectedSequence = sequence;
    m_catchUpPeriod = m_options.initialCatchUpPeriod;
    pollSoon();
}

void TicketFeed::adopt(const TicketState &state)
{
    if (state.sequence() >= m_state->sequence()) {
        m_isReady = true;
    }
    if (state.sequence() > m_state->sequence()) {
        auto next = state;
        applyEarlyEntries(next);
        publish(std::move(next));
    }
}

std::shared_ptr<const TicketState> TicketFeed::state() const
{
    return m_state;
}

bool TicketFeed::isReady() const
{
    return m_isReady;
}

bool TicketFeed::isBehind() const
{
    return m_expectedSequence > m_state->sequence();
}

Core::Duration TicketFeed::timeSinceTableResponse() const
{
    return m_scheduler.now() - m_lastResponseAt;
}

std::uint64_t TicketFeed::malformedRowCount() const
{
    return m_malformedRowCount;
}

std::uint64_t TicketFeed::pollCount() const
{
    return m_pollCount;
}

void TicketFeed::poll()
{
    m_isPolling = true;
    ++m_pollCount;
    m_table.scan(Tables::Feed, numberKey(m_state->sequence()), m_options.entriesPerPoll, [this](const auto &result) {
        m_isPolling = false;
        if (result.isAvailable) {
            m_lastResponseAt = m_scheduler.now();
            applyRows(result.rows);
        }
        scheduleNextPoll();
    });
}

void TicketFeed::applyRows(const std::vector<Platform::Row> &rows)
{
    auto next = *m_state;
    for (const auto &row : rows) {
        const auto entry = feedEntryFromText(row.value);
        if (!entry.has_value() || numberKey(entry->sequence) != row.key) {
            reportMalformed(row);
            break;
        }
        // The entry in between isn't visible to this read yet; a later poll finds it.
        if (next.apply(*entry) == TicketState::ApplyOutcome::OutOfOrder) {
            m_expectedSequence = std::max(m_expectedSequence, entry->sequence);
            break;
        }
    }
    if (next.sequence() > m_state->sequence()) {
        applyEarlyEntries(next);
        publish(std::move(next));
    }
    if (rows.size() == m_options.entriesPerPoll) {
        m_isPollWanted = m_state->sequence() > 0 && rows.back().key <= numberKey(m_state->sequence());
    } else if (rows.empty() || rows.back().key <= numberKey(m_state->sequence())) {
        m_isReady = true;
    }
}

void TicketFeed::reportMalformed(const Platform::Row &row)
{
    ++m_malformedRowCount;
    if (std::exchange(m_lastMalformedKey, row.key) != row.key) {
        Log::write(Log::Event::TicketFeedUnreadable,
                   {{"key", row.key}, {"inForce", std::to_string(m_state->sequence())}});
    }
}

void TicketFeed::applyEarlyEntries(TicketState &state)
{
    while (!m_earlyEntries.empty()) {
        const auto first = m_earlyEntries.begin();
        if (state.apply(first->second) == TicketState::ApplyOutcome::OutOfOrder) {
            return;
        }
        m_earlyEntries.erase(first);
    }
}

void TicketFeed::publish(TicketState state)
{
    m_state = std::make_shared<const TicketState>(std::move(state));
    Log::write(Log::Event::TicketApplied, {{"sequence", std::to_string(m_state->sequence())}});
    if (m_changed) {
        m_changed(*m_state);
    }
}

void TicketFeed::scheduleNextPoll()
{
    if (std::exchange(m_isPollWanted, false)) {
        poll();
        return;
    }
    auto period = m_options.pollPeriod;
    if (isBehind()) {
        period = std::min(period, m_catchUpPeriod);
        m_catchUpPeriod *= 2;
    } else {
        m_catchUpPeriod = m_options.initialCatchUpPeriod;
    }
    // Jitter of a quarter of the period keeps hosts from polling at the same time.
    const auto jitter = period / 4 * static_cast<int>(m_ids.randomNumber() % 1000) / 1000;
    m_timer = m_scheduler.runAfter(period * 7 / 8 + jitter, [this] {
        poll();
    });
}

}
