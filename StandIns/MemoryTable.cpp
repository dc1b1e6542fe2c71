#include <StandIns/MemoryTable.h>

namespace StandIns {

bool MemoryTable::transact(const Platform::Transaction &transaction)
{
    for (const auto &[table, key, version] : transaction.conditions) {
        const auto row = read(table, key);
        if ((row.has_value() ? row->version : 0) != version) {
            return false;
        }
    }
    for (const auto &[table, key, value] : transaction.puts) {
        // Versions never repeat, not even for a row that was deleted and made again.
        m_tables[table][key] = {.key = key, .version = ++m_lastVersion, .value = value};
    }
    for (const auto &[table, key] : transaction.deletions) {
        m_tables[table].erase(key);
    }
    return true;
}

std::optional<Platform::Row> MemoryTable::read(const std::string &table, const std::string &key) const
{
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end()) {
        return std::nullopt;
    }
    const auto row = rows->second.find(key);
    return row == rows->second.end() ? std::nullopt : std::optional(row->second);
}

std::vector<Platform::Row> MemoryTable::scan(const std::string &table, const std::string &afterKey,
                                             std::size_t most) const
{
    std::vector<Platform::Row> found;
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end()) {
        return found;
    }
    for (auto row = rows->second.upper_bound(afterKey); row != rows->second.end() && found.size() < most; ++row) {
        found.push_back(row->second);
    }
    return found;
}

}
