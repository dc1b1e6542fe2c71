#pragma once

#include <LibPlatform/TableService.h>
#include <map>

namespace StandIns {

// The rows of a table service, in memory, with transactions decided one after the other.
class MemoryTable
{
public:
    // Returns true when every condition held and the writes were made.
    bool transact(const Platform::Transaction &transaction);
    [[nodiscard]] std::optional<Platform::Row> read(const std::string &table, const std::string &key) const;
    [[nodiscard]] std::vector<Platform::Row> scan(const std::string &table, const std::string &afterKey,
                                                  std::size_t most) const;

private:
    std::uint64_t m_lastVersion = 0;
    std::map<std::string, std::map<std::string, Platform::Row>> m_tables;
};

}
