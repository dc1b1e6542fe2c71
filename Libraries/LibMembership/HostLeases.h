#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/HostRecord.h>
#include <LibPlatform/TableService.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Membership {

struct HostLeasesOptions {
    Core::Duration renewalPeriod = std::chrono::milliseconds(1000);
    std::chrono::milliseconds term {5000};
    // Added to the term before another host's lease counts as expired; covers clocks that run at different rates.
    Core::Duration expiryMargin = std::chrono::milliseconds(500);
    // How often the rows of other availability zones are read. Only their addresses and ticket sequences are used.
    Core::Duration otherZonesScanPeriod = std::chrono::milliseconds(10000);
};

// Renews this host's lease row in the table service and tracks the lease rows of the other hosts. A lease is a row
// that its host must renew within a term to count as alive. The host counts the term from before it sent the renewal;
// other hosts count it from when they first read the row. The host's own view therefore always expires first, and wall
// clocks of different hosts are never compared.
//
// A second row, in the table of processes, names the process of the host that was started last. Only its start and its
// release change it, and every other write of the lease row is conditional on its version. The service may do a write
// seconds late; it fails then if the host's next process has started. Renewals don't fail because of each other, also
// if several are unanswered.
class HostLeases
{
public:
    HostLeases(Core::Scheduler &scheduler, Platform::TableService &table, HostRecord self, HostLeasesOptions options);

    void start();
    // Changes this host's record and writes it to the table at once; later renewals carry the change too.
    void update(const std::function<void(HostRecord &)> &change);
    // Releases the lease: stops renewing the row, and deletes it if it still is that of this process. The function runs
    // when the service has responded or the request has failed.
    void release(std::function<void()> done);

    // Sets the ticket sequence in force at this host, which the next renewal publishes.
    void setTicketSequence(std::uint64_t sequence);
    // Adds another host's record that a peer sent, for a host that can't read the rows. A row read later replaces it.
    void recordHost(const HostRecord &record);

    [[nodiscard]] const HostRecord &self() const;
    // This host, and then every other host whose lease hasn't expired, by id.
    [[nodiscard]] std::vector<HostRecord> liveHosts() const;
    // The last record read of a host, whether its lease has expired or not; none if its row has been deleted.
    [[nodiscard]] std::optional<HostRecord> find(const Core::HostId &id) const;
    // The last records read of the other hosts in this host's zone, including those whose lease has expired.
    [[nodiscard]] std::vector<HostRecord> zonePeers() const;
    // True once the rows of all zones have been read, or a peer has sent a host's record.
    [[nodiscard]] bool isReady() const;

    // True while this host can prove that its lease was renewed within the term. A renewal whose response was lost
    // counts once the row has been read back.
    [[nodiscard]] bool isLeaseHeld() const;
    // The number of the current lease session. It increases each time the lease is acquired after it wasn't held.
    // Ownership that was claimed in an earlier session must be written in a new transaction.
    [[nodiscard]] std::uint64_t session() const;
    // True when another host's row has stayed unchanged for its term and the margin.
    [[nodiscard]] bool isExpired(const Core::HostId &id) const;
    // True when the host's row was read once and has since been deleted, which only an orderly shutdown does.
    [[nodiscard]] bool isReleased(const Core::HostId &id) const;
    // The condition that the host's row is still at the version last read, or still absent. A takeover carries it, so
    // that the transaction fails if the host has renewed its lease and a lagging read hasn't shown it.
    [[nodiscard]] Platform::RowCondition unchangedCondition(const Core::HostId &id) const;
    // The time since the table service last responded to a request of this object.
    [[nodiscard]] Core::Duration timeSinceTableResponse() const;

private:
    struct ObservedHost {
        HostRecord record;
        std::uint64_t rowVersion = 0;
        Core::TimePoint lastChange {};
    };

    void renew();
    // Makes this process the one that the table of processes names, or reads the version of that row if it is.
    void registerProcess();
    // Writes the row of the process if it still has the version; with version zero, if there is none.
    void writeProcess(std::uint64_t version);
    // Reads the row of the host's process, and stores its version if it names this process.
    void readProcess(std::function<void(const Platform::ReadResult &read)> done);
    // Writes the lease row as a renewal, in the given transaction.
    void writeRenewal(Platform::Transaction transaction);
    void confirmRenewal(std::uint64_t renewal);
    void scanOwnZone();
    void scanOtherZones();
    void scanPage(const std::string &prefix, const std::string &afterKey, std::set<Core::HostId> found,
                  std::function<void()> done);
    void applyRow(const Platform::Row &row);
    void removeDeletedHosts(const std::set<Core::HostId> &found);
    // Whether this process has written the row of this host.
    [[nodiscard]] bool isOwnRow(const Platform::Row &row) const;
    // The condition that no other process of this host has started.
    [[nodiscard]] Platform::RowCondition processCondition() const;
    [[nodiscard]] std::string ownKey() const;
    [[nodiscard]] bool isExpired(const ObservedHost &observed) const;

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    HostRecord m_self;
    HostLeasesOptions m_options;
    std::map<Core::HostId, ObservedHost> m_observedHosts;
    std::set<Core::HostId> m_releasedHosts;
    std::map<std::uint64_t, Core::TimePoint> m_sentRenewals; // Send times of unconfirmed renewals, by number.
    Core::TimePoint m_leaseHeldUntil {};
    Core::TimePoint m_lastTableResponse {};
    std::uint64_t m_session = 0;
    std::optional<std::uint64_t> m_processVersion; // Of the row that names this process; empty until it is known.
    bool m_wasRegistered = false; // The row has named this process.
    bool m_isReady = false;
    bool m_isReleased = false;
};

}
