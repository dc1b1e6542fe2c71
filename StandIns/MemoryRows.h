#pragma once

#include <LibCore/Scheduler.h>
#include <LibPlatform/RowFeed.h>
#include <LibPlatform/TableService.h>
#include <map>

namespace StandIns {

// The rows of a store whose transactions share one rising version, in memory. Outages, lost answers and a forgotten
// history can be set. Answers come after a delay of the scheduler's time.
class MemoryRows final : public Platform::TableService, public Platform::RowFeed
{
public:
    explicit MemoryRows(Core::Scheduler &scheduler);

    void transact(Platform::Transaction transaction, TransactionFunction done) override;
    void read(std::string_view table, std::string_view key, ReadFunction done) override;
    void scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done) override;
    void readTable(std::string_view table, FeedFunction done) override;
    void follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done) override;

    // Writes one row without conditions, as other writers of the store do.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    // Changes before now can't be followed any more.
    void forgetHistory();

    bool isDown = false; // Nothing is done, and every call fails.
    bool isLosing = false; // Transactions are carried out and not answered.
    Core::Duration answerDelay = std::chrono::milliseconds(1);

private:
    [[nodiscard]] std::uint64_t versionOf(const Platform::RowCondition &condition) const;
    [[nodiscard]] Platform::FeedResult changesSince(const std::string &table, std::uint64_t after) const;
    void poll(const std::string &table, std::uint64_t after, Core::TimePoint until, const FeedFunction &done);

    Core::Scheduler &m_scheduler;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyFrom = 0;
    std::map<std::string, std::map<std::string, Platform::ChangedRow>> m_tables; // Removed rows are kept as such.
};

}
