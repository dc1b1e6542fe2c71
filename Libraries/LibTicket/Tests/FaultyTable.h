#pragma once

#include <LibCore/IdSource.h>
#include <LibCore/VirtualScheduler.h>
#include <LibPlatform/TableService.h>
#include <StandIns/MemoryTable.h>
#include <vector>

namespace Ticket::Tests {

// A table service in memory whose every read may show the rows of another time, and whose answers may be lost.
class FaultyTable final : public Platform::TableService
{
public:
    FaultyTable(Core::VirtualScheduler &clock, std::uint64_t seed)
        : m_clock(clock)
        , m_random(seed)
    {
        remember();
    }

    void setFaults(Core::Duration mostLag, int percentLost, bool isDown)
    {
        m_mostLag = mostLag;
        m_percentLost = percentLost;
        m_isDown = isDown;
    }

    // Reads of this table show its rows as they were at the beginning; an empty name ends it.
    void freezeReads(std::string table)
    {
        m_frozenTable = std::move(table);
    }

    [[nodiscard]] StandIns::MemoryTable &rows()
    {
        return m_rows;
    }

    // Makes a change that no host made visible to reads.
    void remember()
    {
        m_history.emplace_back(m_clock.now(), m_rows);
    }

    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        const bool isLost = m_isDown || roll(m_percentLost);
        // A transaction whose answer is lost may take effect now, much later, or never.
        const bool isServed = !isLost || (!m_isDown && roll(70));
        const auto delay = isLost && roll(30) ? std::chrono::milliseconds(3000) : latency();
        m_clock.runAfter(delay, [this, isServed, isLost, done, transaction = std::move(transaction)] {
            const bool isCommitted = isServed && m_rows.transact(transaction);
            remember();
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
        answer([this, table = std::string(table), key = std::string(key), done](bool isAvailable) {
            done({.isAvailable = isAvailable,
                  .row = isAvailable ? seen(table).read(table, key) : std::nullopt,
                  .error = isAvailable ? "" : "timed out"});
        });
    }

    void scan(std::string_view table, std::string_view afterKey, std::size_t most, ScanFunction done) override
    {
        answer([this, table = std::string(table), afterKey = std::string(afterKey), most, done](bool isAvailable) {
            done({.isAvailable = isAvailable,
                  .rows = isAvailable ? seen(table).scan(table, afterKey, most) : std::vector<Platform::Row>(),
                  .error = isAvailable ? "" : "timed out"});
        });
    }

private:
    void answer(std::function<void(bool)> done)
    {
        const bool isLost = m_isDown || roll(m_percentLost);
        m_clock.runAfter(isLost ? std::chrono::milliseconds(1000) : latency(), [done = std::move(done), isLost] {
            done(!isLost);
        });
    }

    [[nodiscard]] const StandIns::MemoryTable &seen(const std::string &table)
    {
        if (table == m_frozenTable) {
            return m_history.front().second;
        }
        const auto lag = m_mostLag * static_cast<int>(m_random.randomNumber() % 1000) / 1000;
        for (auto entry = m_history.rbegin(); entry != m_history.rend(); ++entry) {
            if (entry->first <= m_clock.now() - lag) {
                return entry->second;
            }
        }
        return m_history.front().second;
    }

    [[nodiscard]] bool roll(int percent)
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
    Core::Duration m_mostLag {};
    std::string m_frozenTable;
    int m_percentLost = 0;
    bool m_isDown = false;
};

}
