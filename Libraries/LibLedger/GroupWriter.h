#pragma once

#include <LibCore/Scheduler.h>
#include <LibMetrics/Registry.h>
#include <LibPlatform/TableService.h>
#include <deque>
#include <optional>

namespace Ledger {

struct GroupWriterOptions {
    std::string table;
    Core::Duration batchWindow = std::chrono::milliseconds(4); // How long a write waits to be grouped with others.
    std::size_t maxGroupSize = 32; // Rows in one transaction.
    std::size_t maxInFlight = 4; // Transactions without a response; further writes wait.
    std::size_t saturationThreshold = 256; // Outstanding writes from which on isSaturated() is true.
};

// A write of one row.
struct RowWrite {
    std::string key;
    std::optional<std::uint64_t> version; // The version that the row must have; none: unconditional.
    std::string value;
};

// Groups row writes that are made within a few milliseconds into one transaction. A conflict doesn't show which row of
// the group caused it, so the group is split in halves until each conflict concerns a single row. Any other outcome,
// including an unknown one, is reported for all rows of the group.
class GroupWriter
{
public:
    using DoneFunction = std::function<void(Platform::TransactionOutcome)>;

    GroupWriter(Core::Scheduler &scheduler, Platform::TableService &table, Metrics::Registry &metrics,
                GroupWriterOptions options);

    // The done function is called once, and never before this call returns.
    void write(RowWrite write, DoneFunction done);
    // True if so many writes are outstanding that new requests should be shed.
    [[nodiscard]] bool isSaturated() const;

private:
    struct Entry {
        RowWrite write;
        DoneFunction done;
    };
    using Group = std::vector<Entry>;

    void flush();
    [[nodiscard]] Group nextGroup();
    void send(Group group);
    void handleOutcome(Group group, Platform::TransactionOutcome outcome);

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    Metrics::Registry &m_metrics;
    GroupWriterOptions m_options;
    std::deque<Entry> m_pending;
    std::size_t m_outstanding = 0;
    std::size_t m_inFlight = 0;
    bool m_isFlushScheduled = false;
};

}
