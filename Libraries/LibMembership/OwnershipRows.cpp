#include <LibMembership/OwnershipRows.h>

#include <nlohmann/json.hpp>

namespace Membership {

namespace {

constexpr std::size_t RowsPerPage = 500;

}

OwnershipRows::OwnershipRows(Core::Scheduler &scheduler, Platform::TableService &table, Core::ZoneId zone,
                             Core::Duration scanPeriod)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_prefix(std::move(zone.value) + '/')
    , m_scanPeriod(scanPeriod)
{
}

void OwnershipRows::onChange(std::function<void(const Core::TargetId &)> function)
{
    m_onChange = std::move(function);
}

void OwnershipRows::scanIfDue()
{
    if (m_scheduler.now() >= m_nextScan) {
        scanNow();
    }
}

void OwnershipRows::scanNow()
{
    if (!m_isScanning) {
        m_isScanning = true;
        m_nextScan = m_scheduler.now() + m_scanPeriod;
        scan(m_prefix);
    }
}

void OwnershipRows::scan(const std::string &afterKey)
{
    m_table.scan(OwnershipTable, afterKey, RowsPerPage, [this](const Platform::ScanResult &result) {
        bool hasMore = result.isAvailable && result.rows.size() == RowsPerPage;
        for (const auto &row : result.rows) {
            if (!row.key.starts_with(m_prefix)) {
                hasMore = false;
                break;
            }
            applyRow(row);
        }
        if (hasMore) {
            scan(result.rows.back().key);
            return;
        }
        m_isScanning = false;
        m_hasScanned = m_hasScanned || result.isAvailable;
    });
}

void OwnershipRows::read(const Core::TargetId &target)
{
    m_table.read(OwnershipTable, keyOf(target), [this](const Platform::ReadResult &result) {
        if (result.isAvailable && result.row.has_value()) {
            applyRow(*result.row);
        }
    });
}

bool OwnershipRows::hasScanned() const
{
    return m_hasScanned;
}

const KnownOwnership &OwnershipRows::findOrCreate(const Core::TargetId &target)
{
    return m_known[target];
}

const KnownOwnership *OwnershipRows::find(const Core::TargetId &target) const
{
    const auto found = m_known.find(target);
    return found == m_known.end() ? nullptr : &found->second;
}

bool OwnershipRows::recordOwnership(const Ownership &ownership)
{
    auto &known = m_known[ownership.target];
    if (ownership.fence < known.fence) {
        return false;
    }
    if (ownership.fence > known.fence) {
        known.fence = ownership.fence;
        known.owner = ownership.owner;
        m_onChange(ownership.target);
    }
    return true;
}

bool OwnershipRows::canWrite(const Core::TargetId &target) const
{
    const auto *known = find(target);
    return m_hasScanned && !m_pendingWrites.contains(target) && (known == nullptr || known->isVersionCurrent);
}

void OwnershipRows::write(const Core::TargetId &target, const OwnershipRow &row,
                          const std::vector<Platform::RowCondition> &additionalConditions,
                          std::function<void(bool isCommitted)> done)
{
    const std::string table(OwnershipTable);
    Platform::Transaction transaction {.conditions
                                       = {{.table = table, .key = keyOf(target), .version = m_known[target].version}},
                                       .puts = {{.table = table, .key = keyOf(target), .value = toText(row)}}};
    transaction.conditions.insert(transaction.conditions.end(), additionalConditions.begin(),
                                  additionalConditions.end());
    m_pendingWrites.insert(target);
    m_table.transact(std::move(transaction),
                     [this, target, row, done = std::move(done)](const Platform::TransactionResult &result) {
                         m_pendingWrites.erase(target);
                         const bool isCommitted = result.outcome == Platform::TransactionOutcome::Committed;
                         if (isCommitted) {
                             auto &known = m_known[target];
                             known.row = row;
                             known.isVersionCurrent = false;
                             recordOwnership({.target = target, .owner = row.owner, .fence = row.fence});
                         }
                         read(target);
                         done(isCommitted);
                     });
}

void OwnershipRows::applyRow(const Platform::Row &row)
{
    const Core::TargetId target {row.key.substr(m_prefix.size())};
    auto &known = m_known[target];
    if (row.version <= known.version) {
        return;
    }
    try {
        known.row = ownershipRowFromText(row.value);
    } catch (const nlohmann::json::exception &) {
        known.row = {.fence = known.fence};
    }
    known.version = row.version;
    known.isVersionCurrent = true;
    if (known.row.fence >= known.fence) {
        known.fence = known.row.fence;
        known.owner = known.row.owner;
    }
    m_onChange(target);
}

std::string OwnershipRows::keyOf(const Core::TargetId &target) const
{
    return m_prefix + target.value;
}

}
