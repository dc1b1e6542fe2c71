#pragma once

#include <LibCore/IdSource.h>
#include <LibCore/Scheduler.h>
#include <LibPlatform/TableService.h>
#include <LibTicket/TicketState.h>
#include <functional>

namespace Ticket {

struct TicketFeedOptions {
    Core::Duration pollPeriod = std::chrono::milliseconds(2000);
    std::size_t entriesPerPoll = 500;
};

// Keeps this host's TicketState up to date by polling the feed in the table service, with jitter.
class TicketFeed
{
public:
    TicketFeed(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
               TicketFeedOptions options);

    void start();
    // Polls now rather than at the next turn.
    void pollSoon();
    // The state in force here. A running request keeps the pointer it began with.
    [[nodiscard]] std::shared_ptr<const TicketState> state() const;
    // True once the state is known to have been complete at some time.
    [[nodiscard]] bool isReady() const;

private:
    void poll();
    void scheduleNextPoll();

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    Core::IdSource &m_ids;
    TicketFeedOptions m_options;
    std::shared_ptr<const TicketState> m_state = std::make_shared<TicketState>();
    Core::TimerId m_timer = Core::TimerId::None;
    bool m_isPolling = false;
    bool m_isPollWanted = false;
    bool m_isReady = false;
};

}
