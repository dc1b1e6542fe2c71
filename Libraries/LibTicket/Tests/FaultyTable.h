#pragma once

#include <LibCore/IdSource.h>
#include <LibCore/VirtualScheduler.h>
#include <LibPlatform/TableService.h>
#include <StandIns/MemoryTable.h>
#include <vector>

namespace Ticket::Tests {

// An in-memory table service with faults: each read may return the rows of an earlier time, and responses may be lost.
class FaultyTable final : public Platform::TableService
{
public:
    FaultyTable(Core::VirtualScheduler &clock, std::uint64_t seed)
        : m_clock(clock)
        , m_random(seed)
    {
        recordVersion();
    }

    void setFaults(Core::Duration maxLag, int percentLost, bool isDown)
    {
        m_maxLag = maxLag;
        m_percentLost = percentLost;
        m_isDown = isDown;
    }

    // Makes all reads of this table return its initial rows, until the next call; an empty name freezes no table.
    void freezeReads(std::string table)
    {
        m_frozenTable = std::move(table);
    }

    [[nodiscard]] StandIns::MemoryTable &rows()
    {
        return m_rows;
    }

    // Makes the current rows visible to reads. Required after changing rows() directly.
    void recordVersion()
    {
        m_history.emplace_back(m_clock.now(), m_rows);
    }

    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        const bool isLost = m_isDown || drawChance(m_percentLost);
        // A transaction whose response is lost may take effect now, much later, or never.
        const bool isExecuted = !isLost || (!m_isDown && drawChance(70));
        const auto delay = isLost && drawChance(30) ? std::chrono::milliseconds(3000) : latency();
        m_clock.runAfter(delay, [this, isExecuted, isLost, done, transaction = std::move(transaction)] {
            const bool isCommitted = isExecuted && m_rows.transact(transaction);
            recordVersion();
            if (!isLost) {
                done({.outcome = isCommitted ? Platform::TransactionOutcome::Committed
                                             : Platform::TransactionOutcome::Conflicted});
            }
        });
        if (isLost) {
            m_clock.runAfter(std::chrono::milliseconds(1000), [done] {
                done({.outcome = Platform::TransactionOutcome::Unknown, .error = "timed out"});
            });
        }
    }

    void read(std::string_view table, std::string_view key, ReadFunction done) override
    {
        respond([this, table = std::string(table), key = std::string(key), done](bool isAvailable) {
            done({.isAvailable = isAvailable,
                  .row = isAvailable ? visibleRows(table).read(table, key) : std::nullopt,
                  .error = isAvailable ? "" : "timed out"});
        });
    }

    void scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done) override
    {
        respond([this, table = std::string(table), afterKey = std::string(afterKey), limit, done](bool isAvailable) {
            done({.isAvailable = isAvailable,
                  .rows = isAvailable ? visibleRows(table).scan(table, afterKey, limit) : std::vector<Platform::Row>(),
                  .error = isAvailable ? "" : "timed out"});
        });
    }

private:
    void respond(std::function<void(bool)> done)
    {
        const bool isLost = m_isDown || drawChance(m_percentLost);
        m_clock.runAfter(isLost ? std::chrono::milliseconds(1000) : latency(), [done = std::move(done), isLost] {
            done(!isLost);
        });
    }

    [[nodiscard]] const StandIns::MemoryTable &visibleRows(const std::string &table)
    {
        if (table == m_frozenTable) {
            return m_history.front().second;
        }
        const auto lag = m_maxLag * static_cast<int>(m_random.randomNumber() % 1000) / 1000;
        for (auto entry = m_history.rbegin(); entry != m_history.rend(); ++entry) {
            if (entry->first <= m_clock.now() - lag) {
                return entry->second;
            }
        }
        return m_history.front().second;
    }

    [[nodiscard]] bool drawChance(int percent)
    {
        return static_cast<int>(m_random.randomNumber() % 100) < percent;
    }

    [[nodiscard]] std::chrono::milliseconds latency()
    {
        return std::chrono::milliseconds(1 + m_random.randomNumber() % 20);
    }

    Core::VirtualScheduler &m_clock;
    Core::IdSource m_random;
    StandIns::MemoryTable m_rows;
    std::vector<std::pair<Core::TimePoint, StandIns::MemoryTable>> m_history;
    Core::Duration m_maxLag {};
    std::string m_frozenTable;
    int m_percentLost = 0;
    bool m_isDown = false;
};

}
