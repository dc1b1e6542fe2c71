#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/OwnershipRow.h>
#include <LibMembership/OwnershipView.h>
#include <LibPlatform/TableService.h>
#include <map>
#include <set>

namespace Membership {

// The latest that is known of one target's ownership.
struct KnownOwnership {
    OwnershipRow row; // As the table last showed it, or as this host last wrote it.
    std::uint64_t version = 0; // The highest version read; zero while the table has no row.
    bool isVersionCurrent = true; // False from a write of this host until its version has been read.
    Core::HostId owner; // By the highest fence heard of, in the table or from a peer.
    std::uint64_t fence = 0;
};

// One zone's ownership rows, read with lag and written by compare and swap. What is known never goes back to a lower
// fence or an older version, whatever a lagging read returns.
class OwnershipRows
{
public:
    OwnershipRows(Core::Scheduler &scheduler, Platform::TableService &table, Core::ZoneId zone,
                  Core::Duration scanPeriod);

    // The function runs whenever more has become known of a target.
    void onChange(std::function<void(const Core::TargetId &)> function);
    // Reads all rows when it is time to.
    void scanIfDue();
    // Reads all rows now.
    void scanSoon();
    void read(const Core::TargetId &target);
    // True once all rows have been read.
    [[nodiscard]] bool hasScanned() const;

    [[nodiscard]] const KnownOwnership &at(const Core::TargetId &target);
    [[nodiscard]] const KnownOwnership *find(const Core::TargetId &target) const;
    // Takes an owner heard of from a peer. Returns false when a higher fence is known.
    bool recordOwnership(const Ownership &ownership);
    // Replaces the row if it still has the version read and the further conditions hold. One write runs at a time for
    // each target. Without an answer nothing is concluded; the row is read again.
    void write(const Core::TargetId &target, const OwnershipRow &row,
               const std::vector<Platform::RowCondition> &furtherConditions,
               std::function<void(bool isCommitted)> done);
    [[nodiscard]] bool canWrite(const Core::TargetId &target) const;

private:
    void scan(const std::string &afterKey);
    void take(const Platform::Row &row);
    [[nodiscard]] std::string keyOf(const Core::TargetId &target) const;

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    std::string m_prefix;
    Core::Duration m_scanPeriod;
    std::function<void(const Core::TargetId &)> m_changed;
    std::map<Core::TargetId, KnownOwnership> m_known;
    std::set<Core::TargetId> m_writing;
    Core::TimePoint m_nextScan {};
    bool m_isScanning = false;
    bool m_hasScanned = false;
};

}
