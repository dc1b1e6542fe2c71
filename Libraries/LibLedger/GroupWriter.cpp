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
    m_waiting.push_back({.write = std::move(write), .done = std::move(done)});
    if (!m_isFlushScheduled) {
        m_isFlushScheduled = true;
        m_scheduler.runAfter(m_options.window, [this] {
            m_isFlushScheduled = false;
            flush();
        });
    }
}

bool GroupWriter::isSaturated() const
{
    return m_outstanding >= m_options.ceiling;
}

void GroupWriter::flush()
{
    while (!m_waiting.empty() && m_inFlight < m_options.mostInFlight) {
        send(takeGroup());
    }
}

// A row stands in a transaction once; a second write to it waits for the next.
GroupWriter::Group GroupWriter::takeGroup()
{
    Group group;
    std::deque<Entry> left;
    std::set<std::string> keys;
    for (auto &entry : m_waiting) {
        if (group.size() < m_options.largestGroup && keys.insert(entry.write.key).second) {
            group.push_back(std::move(entry));
        } else {
            left.push_back(std::move(entry));
        }
    }
    m_waiting = std::move(left);
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
    // A function object must be copyable, so the group is shared.
    auto shared = std::make_shared<Group>(std::move(group));
    m_table.transact(std::move(transaction), [this, shared](const auto &result) {
        --m_inFlight;
        takeOutcome(std::move(*shared), result.outcome);
        flush();
    });
}

void GroupWriter::takeOutcome(Group group, Platform::TransactionOutcome outcome)
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
