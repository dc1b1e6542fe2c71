#pragma once

#include <LibCore/Scheduler.h>
#include <LibMetrics/Registry.h>
#include <LibPlatform/TableService.h>
#include <deque>
#include <optional>

namespace Ledger {

struct GroupWriterOptions {
    std::string table;
    Core::Duration window = std::chrono::milliseconds(4); // How long a write waits for others to join it.
    std::size_t largestGroup = 32; // Rows in one transaction.
    std::size_t mostInFlight = 4; // Transactions without an answer, before further writes wait.
    std::size_t ceiling = 256; // Writes without an outcome, from which on the writer counts as saturated.
};

// One row's new value.
struct RowWrite {
    std::string key;
    std::optional<std::uint64_t> version; // The version that the row must still have; none for an unconditional write.
    std::string value;
};

// Joins row writes that come within a few milliseconds into one transaction. A conflict of a group says nothing of
// which row it was: the group is split until each conflict stands alone. An unknown outcome is passed on to all.
class GroupWriter
{
public:
    using DoneFunction = std::function<void(Platform::TransactionOutcome)>;

    GroupWriter(Core::Scheduler &scheduler, Platform::TableService &table, Metrics::Registry &metrics,
                GroupWriterOptions options);

    // The function runs once, never inside this call.
    void write(RowWrite write, DoneFunction done);
    // True when so many writes are outstanding that new work should be shed.
    [[nodiscard]] bool isSaturated() const;

private:
    struct Entry {
        RowWrite write;
        DoneFunction done;
    };
    using Group = std::vector<Entry>;

    void flush();
    [[nodiscard]] Group takeGroup();
    void send(Group group);
    void takeOutcome(Group group, Platform::TransactionOutcome outcome);

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    Metrics::Registry &m_metrics;
    GroupWriterOptions m_options;
    std::deque<Entry> m_waiting;
    std::size_t m_outstanding = 0;
    std::size_t m_inFlight = 0;
    bool m_isFlushScheduled = false;
};

}
