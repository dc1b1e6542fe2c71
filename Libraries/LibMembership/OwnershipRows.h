#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/OwnershipRow.h>
#include <LibMembership/OwnershipView.h>
#include <LibPlatform/TableService.h>
#include <map>
#include <set>

namespace Membership {

// The latest known state of one target's ownership.
struct KnownOwnership {
    OwnershipRow row; // As last read from the table or last written by this host.
    std::uint64_t version = 0; // The highest version read; zero while the table has no row.
    bool isVersionCurrent = true; // False from a write of this host until its version has been read.
    Core::HostId owner; // The owner with the highest fence known from the table or from a peer.
    std::uint64_t fence = 0;
};

// Caches one zone's ownership rows, reads them periodically and writes them by compare and swap. Reads may lag behind
// writes, but the cached state never returns to a lower fence or an older version.
class OwnershipRows
{
public:
    OwnershipRows(Core::Scheduler &scheduler, Platform::TableService &table, Core::ZoneId zone,
                  Core::Duration scanPeriod);

    // The function runs whenever the known ownership of a target changes.
    void onChange(std::function<void(const Core::TargetId &)> function);
    // Reads all rows if the scan period has passed.
    void scanIfDue();
    // Reads all rows unless a scan is running already.
    void scanNow();
    void read(const Core::TargetId &target);
    // True once all rows have been read.
    [[nodiscard]] bool hasScanned() const;

    [[nodiscard]] const KnownOwnership &findOrCreate(const Core::TargetId &target);
    [[nodiscard]] const KnownOwnership *find(const Core::TargetId &target) const;
    // Records an ownership reported by a peer. Returns false when a higher fence is known.
    bool recordOwnership(const Ownership &ownership);
    // Replaces the row if it is still at the version read and the additional conditions hold. Each target has at most
    // one write in progress. Without a response the outcome is unknown; the row is read again in any case.
    void write(const Core::TargetId &target, const OwnershipRow &row,
               const std::vector<Platform::RowCondition> &additionalConditions,
               std::function<void(bool isCommitted)> done);
    [[nodiscard]] bool canWrite(const Core::TargetId &target) const;

private:
    void scan(const std::string &afterKey);
    void applyRow(const Platform::Row &row);
    [[nodiscard]] std::string keyOf(const Core::TargetId &target) const;

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    std::string m_prefix;
    Core::Duration m_scanPeriod;
    std::function<void(const Core::TargetId &)> m_onChange;
    std::map<Core::TargetId, KnownOwnership> m_known;
    std::set<Core::TargetId> m_pendingWrites;
    Core::TimePoint m_nextScan {};
    bool m_isScanning = false;
    bool m_hasScanned = false;
};

}
