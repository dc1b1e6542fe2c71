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
    // Added to a holder's term before its lease counts as lapsed; covers clocks that run at different rates.
    Core::Duration expiryMargin = std::chrono::milliseconds(500);
    // How often the rows of other availability zones are read; only addresses and ticket sequences are used of them.
    Core::Duration otherZonesPeriod = std::chrono::milliseconds(10000);
};

// This host's lease row in the table service, and what it sees of the others' rows. The holder counts its term from
// before it sent the renewal; another host counts it from when it first saw the row, so that the holder always ends
// first. Wall clocks are never compared.
class HostLeases
{
public:
    HostLeases(Core::Scheduler &scheduler, Platform::TableService &table, HostRecord self, HostLeasesOptions options);

    void start();
    // Changes what the own row says from the next renewal on, which is sent at once.
    void update(const std::function<void(HostRecord &)> &change);
    // Ends the lease in order: deletes the row and renews no more. The function runs when the service has answered
    // or has failed to.
    void release(std::function<void()> done);

    // Says in the own row, from the next renewal on, which ticket sequence is in force here.
    void setTicketSequence(std::uint64_t sequence);
    // Takes another host's record from a peer, for a host that can't read the rows; a row read later replaces it.
    void recordHost(const HostRecord &record);

    [[nodiscard]] const HostRecord &self() const;
    // Hosts whose lease hasn't lapsed, this one included, by id.
    [[nodiscard]] std::vector<HostRecord> liveHosts() const;
    // The last record seen of a host, lapsed or not. A host whose row has been deleted has none.
    [[nodiscard]] std::optional<HostRecord> find(const Core::HostId &id) const;
    // The last records seen of the other hosts of this host's zone, lapsed or not.
    [[nodiscard]] std::vector<HostRecord> zonePeers() const;
    // True once the other hosts' rows have been read.
    [[nodiscard]] bool isReady() const;

    // True while this host can show that its lease was renewed within the term. A renewal whose answer was lost
    // counts once it has been read back.
    [[nodiscard]] bool isLeaseHeld() const;
    // Changes whenever the lease was not held in between. What was decided in one session needs a fresh transaction
    // in the next.
    [[nodiscard]] std::uint64_t session() const;
    // True when another host's row was seen unchanged for its whole term and the margin.
    [[nodiscard]] bool isExpired(const Core::HostId &id) const;
    // True when the host's row was seen and has been deleted since; only an orderly stop does that.
    [[nodiscard]] bool isReleased(const Core::HostId &id) const;
    // The condition that the host's row is still as last seen, or still absent. A takeover carries it, so that a
    // renewal that a lagging read has not shown makes the takeover fail.
    [[nodiscard]] Platform::RowCondition unchanged(const Core::HostId &id) const;
    // How long ago the table service last answered anything to this object.
    [[nodiscard]] Core::Duration timeSinceTableResponse() const;

private:
    struct Seen {
        HostRecord record;
        std::uint64_t rowVersion = 0;
        Core::TimePoint changedAt {};
    };

    void renew();
    void confirmRenewal(std::uint64_t renewal);
    void scanOwnZone();
    void scanOtherZones();
    void scanPage(const std::string &prefix, const std::string &afterKey, std::set<Core::HostId> found,
                  std::function<void()> done);
    void takeRow(const Platform::Row &row);
    void dropDeleted(const std::set<Core::HostId> &found);
    [[nodiscard]] std::string ownKey() const;
    [[nodiscard]] bool isExpired(const Seen &seen) const;

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    HostRecord m_self;
    HostLeasesOptions m_options;
    std::map<Core::HostId, Seen> m_seen;
    std::set<Core::HostId> m_released;
    std::map<std::uint64_t, Core::TimePoint> m_sentRenewals; // Those not yet confirmed, by number.
    Core::TimePoint m_heldUntil {};
    Core::TimePoint m_tableAnsweredAt {};
    std::uint64_t m_session = 0;
    bool m_isReady = false;
    bool m_isEnded = false;
};

}
