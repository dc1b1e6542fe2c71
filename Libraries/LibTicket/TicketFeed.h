#pragma once

#include <LibCore/IdSource.h>
#include <LibCore/Scheduler.h>
#include <LibPlatform/TableService.h>
#include <LibTicket/TicketState.h>
#include <functional>
#include <map>

namespace Ticket {

struct TicketFeedOptions {
    Core::Duration pollPeriod = std::chrono::milliseconds(2000);
    // While a sequence is known to exist but isn't in force here, polls start at this period and back off from it.
    Core::Duration firstCatchUpPeriod = std::chrono::milliseconds(50);
    std::size_t entriesPerPoll = 500;
};

// Keeps this host's TicketState up to date: by entries that other hosts pass on, and by polling the feed in the
// table service with jitter, which finds whatever was not passed on. Entries take effect in the order of their
// sequence, each once; nothing ever takes the state back.
class TicketFeed
{
public:
    using ChangeFunction = std::function<void(const TicketState &)>;

    TicketFeed(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
               TicketFeedOptions options);

    // Runs the function after every change of the state.
    void onChange(ChangeFunction changed);
    void start();
    // Polls now rather than at the next turn.
    void pollSoon();
    // Takes an entry that is known to have been accepted. One whose turn hasn't come yet is kept for it.
    void offer(const FeedEntry &entry);
    // Polls more often until the sequence, which is known to have been accepted, is in force here.
    void expectSequence(std::uint64_t sequence);
    // Takes a state that was in force at another host, unless it is older than the own one.
    void adopt(const TicketState &state);

    // The state in force here. A running request keeps the pointer it began with.
    [[nodiscard]] std::shared_ptr<const TicketState> state() const;
    // True once the state is known to have been complete at some time.
    [[nodiscard]] bool isReady() const;
    // Whether a sequence is known to exist that isn't in force here yet.
    [[nodiscard]] bool isBehind() const;
    // How long ago a poll was last answered; counted from the start before the first.
    [[nodiscard]] Core::Duration timeSinceTableResponse() const;
    // Polls that ended at a row that can't be read.
    [[nodiscard]] std::uint64_t malformedRowCount() const;
    // Scans of the feed so far.
    [[nodiscard]] std::uint64_t pollCount() const;

private:
    void poll();
    void scheduleNextPoll();
    void takeRows(const std::vector<Platform::Row> &rows);
    void reportMalformed(const Platform::Row &row);
    void applyEarlyEntries(TicketState &state);
    void publish(TicketState state);

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    Core::IdSource &m_ids;
    TicketFeedOptions m_options;
    ChangeFunction m_changed;
    std::shared_ptr<const TicketState> m_state = std::make_shared<TicketState>();
    std::map<std::uint64_t, FeedEntry> m_earlyEntries; // By sequence; their turn hasn't come yet.
    std::uint64_t m_expectedSequence = 0;
    std::uint64_t m_malformedRowCount = 0;
    std::uint64_t m_pollCount = 0;
    std::string m_lastMalformedKey;
    Core::Duration m_catchUpPeriod {};
    Core::TimePoint m_answeredAt {};
    Core::TimerId m_timer = Core::TimerId::None;
    bool m_isPolling = false;
    bool m_isPollWanted = false;
    bool m_isReady = false;
};

}
