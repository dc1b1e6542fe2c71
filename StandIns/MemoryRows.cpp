#include <StandIns/MemoryRows.h>

#include <algorithm>

namespace StandIns {

namespace {

// Between two looks for changes on behalf of a call that waits for them.
constexpr auto PollPeriod = std::chrono::milliseconds(5);

}

MemoryRows::MemoryRows(Core::Scheduler &scheduler)
    : m_scheduler(scheduler)
{
}

std::uint64_t MemoryRows::versionOf(const Platform::RowCondition &condition) const
{
    const auto table = m_tables.find(condition.table);
    if (table == m_tables.end()) {
        return 0;
    }
    const auto row = table->second.find(condition.key);
    return row == table->second.end() || row->second.isRemoved ? 0 : row->second.version;
}

void MemoryRows::transact(Platform::Transaction transaction, TransactionFunction done)
{
    Platform::TransactionResult result {.outcome = Platform::TransactionOutcome::Unknown, .error = "down"};
    if (!isDown) {
        const bool holds
            = std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [this](const auto &condition) {
                  return versionOf(condition) == condition.version;
              });
        if (holds) {
            ++m_version;
            for (const auto &put : transaction.puts) {
                m_tables[put.table][put.key] = {.key = put.key, .version = m_version, .value = put.value};
            }
            for (const auto &deletion : transaction.deletions) {
                m_tables[deletion.table][deletion.key] = {.key = deletion.key, .version = m_version, .isRemoved = true};
            }
        }
        result = {.outcome = holds ? Platform::TransactionOutcome::Committed : Platform::TransactionOutcome::Conflicted,
                  .version = m_version};
        if (isLosing) {
            result = {.outcome = Platform::TransactionOutcome::Unknown, .error = "no answer"};
        }
    }
    m_scheduler.runAfter(answerDelay, [done = std::move(done), result] {
        done(result);
    });
}

void MemoryRows::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_tables[table][key] = {.key = key, .version = ++m_version, .value = value};
}

void MemoryRows::remove(const std::string &table, const std::string &key)
{
    m_tables[table][key] = {.key = key, .version = ++m_version, .isRemoved = true};
}

void MemoryRows::forgetHistory()
{
    m_historyFrom = m_version;
}

void MemoryRows::read(std::string_view table, std::string_view key, ReadFunction done)
{
    Platform::ReadResult result {.isAvailable = !isDown};
    for (const auto &row : changesSince(std::string(table), 0).rows) {
        if (row.key == key && !row.isRemoved && !isDown) {
            result.row = Platform::Row {.key = row.key, .version = row.version, .value = row.value};
        }
    }
    m_scheduler.runAfter(answerDelay, [done = std::move(done), result] {
        done(result);
    });
}

void MemoryRows::scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done)
{
    Platform::ScanResult result {.isAvailable = !isDown};
    for (const auto &[key, row] : m_tables[std::string(table)]) {
        if (!isDown && !row.isRemoved && key > afterKey && result.rows.size() < limit) {
            result.rows.push_back({.key = key, .version = row.version, .value = row.value});
        }
    }
    m_scheduler.runAfter(answerDelay, [done = std::move(done), result = std::move(result)] {
        done(result);
    });
}

Platform::FeedResult MemoryRows::changesSince(const std::string &table, std::uint64_t after) const
{
    Platform::FeedResult result {.outcome = Platform::FeedOutcome::Read, .version = m_version};
    if (const auto found = m_tables.find(table); found != m_tables.end()) {
        for (const auto &[key, row] : found->second) {
            if (row.version > after) {
                result.rows.push_back(row);
            }
        }
    }
    std::sort(result.rows.begin(), result.rows.end(), [](const auto &left, const auto &right) {
        return left.version < right.version;
    });
    return result;
}

void MemoryRows::readTable(std::string_view table, FeedFunction done)
{
    auto result = changesSince(std::string(table), 0);
    std::erase_if(result.rows, [](const auto &row) {
        return row.isRemoved;
    });
    if (isDown) {
        result = {.error = "down"};
    }
    m_scheduler.runAfter(answerDelay, [done = std::move(done), result = std::move(result)] {
        done(result);
    });
}

void MemoryRows::follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done)
{
    m_scheduler.runAfter(
        answerDelay,
        [this, table = std::string(table), after, until = m_scheduler.now() + wait, done = std::move(done)] {
            poll(table, after, until, done);
        });
}

void MemoryRows::poll(const std::string &table, std::uint64_t after, Core::TimePoint until, const FeedFunction &done)
{
    if (isDown) {
        done({.error = "down"});
        return;
    }
    if (after < m_historyFrom) {
        done({.outcome = Platform::FeedOutcome::HistoryLost});
        return;
    }
    auto result = changesSince(table, after);
    if (!result.rows.empty() || m_scheduler.now() >= until) {
        done(std::move(result));
        return;
    }
    m_scheduler.runAfter(PollPeriod, [this, table, after, until, done] {
        poll(table, after, until, done);
    });
}

}
