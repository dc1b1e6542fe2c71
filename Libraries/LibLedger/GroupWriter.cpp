#include <LibLedger/GroupWriter.h>

#include <iterator>
#include <memory>
#include <set>

namespace Ledger {

GroupWriter::GroupWriter(Core::Scheduler &scheduler, Platform::TableService &table, Metrics::Registry &metrics,
                         GroupWriterOptions options)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

void GroupWriter::write(RowWrite write, DoneFunction done)
{
    ++m_outstanding;
    m_pending.push_back({.write = std::move(write), .done = std::move(done)});
    if (!m_isFlushScheduled) {
        m_isFlushScheduled = true;
        m_scheduler.runAfter(m_options.batchWindow, [this] {
            m_isFlushScheduled = false;
            flush();
        });
    }
}

bool GroupWriter::isSaturated() const
{
    return m_outstanding >= m_options.saturationThreshold;
}

void GroupWriter::flush()
{
    while (!m_pending.empty() && m_inFlight < m_options.maxInFlight) {
        send(nextGroup());
    }
}

// Takes the next group from the pending writes. A transaction writes each row at most once; further writes to the same
// row stay pending.
GroupWriter::Group GroupWriter::nextGroup()
{
    Group group;
    std::deque<Entry> remaining;
    std::set<std::string> keys;
    for (auto &entry : m_pending) {
        if (group.size() < m_options.maxGroupSize && keys.insert(entry.write.key).second) {
            group.push_back(std::move(entry));
        } else {
            remaining.push_back(std::move(entry));
        }
    }
    m_pending = std::move(remaining);
    return group;
}

void GroupWriter::send(Group group)
{
    Platform::Transaction transaction;
    for (const auto &[write, done] : group) {
        if (write.version.has_value()) {
            transaction.conditions.push_back({m_options.table, write.key, *write.version});
        }
        transaction.puts.push_back({m_options.table, write.key, write.value});
    }
    ++m_inFlight;
    m_metrics.count("currantbay_ledger_transactions_total");
    // std::function requires a copyable function object, so the group is held by a shared pointer.
    auto shared = std::make_shared<Group>(std::move(group));
    m_table.transact(std::move(transaction), [this, shared](const auto &result) {
        --m_inFlight;
        handleOutcome(std::move(*shared), result.outcome);
        flush();
    });
}

void GroupWriter::handleOutcome(Group group, Platform::TransactionOutcome outcome)
{
    if (outcome == Platform::TransactionOutcome::Conflicted && group.size() > 1) {
        const auto middle = group.begin() + static_cast<std::ptrdiff_t>(group.size() / 2);
        send(Group(std::make_move_iterator(group.begin()), std::make_move_iterator(middle)));
        send(Group(std::make_move_iterator(middle), std::make_move_iterator(group.end())));
        return;
    }
    m_outstanding -= group.size();
    for (const auto &entry : group) {
        entry.done(outcome);
    }
}

}
