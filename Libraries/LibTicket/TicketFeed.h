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
    // The first poll period while this host is behind; it doubles with every poll, up to pollPeriod.
    Core::Duration initialCatchUpPeriod = std::chrono::milliseconds(50);
    std::size_t entriesPerPoll = 500;
};

// Keeps this host's TicketState up to date with entries that other hosts send. It also polls the feed in the table
// service with jitter, which finds entries that this host wasn't sent. Entries are applied in the order of their
// sequence, each of them once; the state never goes back to an earlier sequence.
class TicketFeed
{
public:
    using ChangeFunction = std::function<void(const TicketState &)>;

    TicketFeed(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
               TicketFeedOptions options);

    // Sets the function that is called after every change of the state.
    void onChange(ChangeFunction changed);
    void start();
    // Polls without waiting for the poll period, or right after a poll that is in progress.
    void pollSoon();
    // Applies an entry that is known to be accepted, or keeps it until the entries before it are applied.
    void offer(const FeedEntry &entry);
    // Polls more often until the sequence, which is known to be in the feed, is applied here.
    void expectSequence(std::uint64_t sequence);
    // Replaces the state with that of another host, unless that one is older.
    void adopt(const TicketState &state);

    // Returns the current state. A request keeps the pointer with which it started until it ends.
    [[nodiscard]] std::shared_ptr<const TicketState> state() const;
    // Returns true once the state is known to have been complete at some time.
    [[nodiscard]] bool isReady() const;
    // Returns true if a sequence is known to be in the feed that isn't applied here yet.
    [[nodiscard]] bool isBehind() const;
    // Returns the time since the last successful poll, or since construction if there was none.
    [[nodiscard]] Core::Duration timeSinceTableResponse() const;
    // Returns the number of polls that stopped at a malformed row.
    [[nodiscard]] std::uint64_t malformedRowCount() const;
    // Returns the number of polls so far.
    [[nodiscard]] std::uint64_t pollCount() const;

private:
    void poll();
    void scheduleNextPoll();
    void applyRows(const std::vector<Platform::Row> &rows);
    void reportMalformed(const Platform::Row &row);
    void applyEarlyEntries(TicketState &state);
    void publish(TicketState state);

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    Core::IdSource &m_ids;
    TicketFeedOptions m_options;
    ChangeFunction m_changed;
    std::shared_ptr<const TicketState> m_state = std::make_shared<TicketState>();
    std::map<std::uint64_t, FeedEntry> m_earlyEntries; // By sequence; entries before them are missing.
    std::uint64_t m_expectedSequence = 0;
    std::uint64_t m_malformedRowCount = 0;
    std::uint64_t m_pollCount = 0;
    std::string m_lastMalformedKey;
    Core::Duration m_catchUpPeriod {};
    Core::TimePoint m_lastResponseAt {};
    Core::TimerId m_timer = Core::TimerId::None;
    bool m_isPolling = false;
    bool m_isPollWanted = false;
    bool m_isReady = false;
};

}
