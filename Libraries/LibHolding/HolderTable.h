#pragma once

#include <LibCore/Scheduler.h>
#include <LibHolding/GoneRows.h>
#include <LibHolding/HoldingRows.h>
#include <LibPlatform/RowFeed.h>
#include <LibPlatform/TableService.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Holding {

struct HolderTableOptions {
    HostRow self;
    Core::Duration renewalPeriod = std::chrono::milliseconds(3000);
    // How long a renewal allows this host to send orders, counted from the time before the renewal was sent. Longer
    // than the usual outages of the store, since a host that can't renew can't load adapters either.
    Core::Duration term = std::chrono::milliseconds(12000);
    // Added by other hosts before they consider a lease expired, to allow for clocks that run at different rates.
    Core::Duration expiryMargin = std::chrono::milliseconds(1000);
    // A new holder sends no orders for this long after its claim, so that orders of two holders never interleave.
    Core::Duration handoverGap = std::chrono::milliseconds(3500);
    Core::Duration tickPeriod = std::chrono::milliseconds(500);
    // After a failed renewal; doubles with each further failure.
    Core::Duration initialRetryDelay = std::chrono::milliseconds(300);
    // Limits the cost of retries, since failed calls are charged too.
    Core::Duration maxRetryDelay = std::chrono::milliseconds(1200);
    std::size_t claimsPerTick = 8;
    // How long a newly started host waits to discover other hosts before it claims replicas that it didn't hold before.
    Core::Duration discoveryTime = std::chrono::milliseconds(1500);
    // How long a released replica is reserved for its last holder, which needs no handover gap if it restarts.
    Core::Duration returnGracePeriod = std::chrono::milliseconds(2500);
    GoneRowsOptions goneRows;
};

// A replica that needs a holder.
struct ClaimableReplica {
    Core::TargetId replica;
    Core::ZoneId zone;
};

// The rows by which hosts discover each other and assign each replica one holder, the only host that may send orders to
// it. A replica is claimed by the live host of its zone that holds the fewest replicas relative to its weight, in a
// transaction conditioned on the version of the replica's row. A holder keeps its replicas until it stops. Another host
// takes over only after the lease of the holder has certainly expired. A holder whose lease has expired sends no orders
// until it has claimed its replicas again, even if it renews the lease.
class HolderTable
{
public:
    using ReplicasFunction = std::function<std::vector<ClaimableReplica>()>;
    // Writes a row. The callback runs once, with true only if the write was confirmed.
    using WriteFunction = std::function<void(Platform::RowPut row, std::function<void(bool isWritten)> done)>;

    // Whether the replica isn't listed any more; false while the list may be old.
    using GoneFunction = std::function<bool(const Core::TargetId &replica)>;

    HolderTable(Core::Scheduler &scheduler, Platform::TableService &table, HolderTableOptions options,
                ReplicasFunction replicas, WriteFunction write);

    void start();
    // Has the rows of replicas that have been gone for long removed. The fence numbers of a replica still never go
    // down: they are versions of the store, which rise with every write of any row.
    void removeRowsOfGone(GoneFunction isGone);
    // Applies rows of the table: all of them if isFull, otherwise those that changed.
    void apply(const Platform::FeedResult &rows, bool isFull);
    // Releases all replicas and deletes the row of this host, unless another process of the host or a late renewal has
    // written it meanwhile. The function runs when both transactions have ended, with or without success.
    void leave(std::function<void()> done);

    // The fencing token for orders to the replica; no value if this host may not send any at present.
    [[nodiscard]] std::optional<std::uint64_t> orderFence(const Core::TargetId &replica) const;
    // The replicas that this host holds, including those to which it may not send orders yet.
    [[nodiscard]] std::vector<Core::TargetId> held() const;
    // The live host that holds the replica, if any.
    [[nodiscard]] std::optional<Core::HostId> holderOf(const Core::TargetId &replica) const;
    // The hosts with an unexpired lease, including this one, in the order of their ids.
    [[nodiscard]] std::vector<HostRow> liveHosts() const;
    [[nodiscard]] std::size_t liveHostCount() const;
    [[nodiscard]] std::optional<std::string> peerAddress(const Core::HostId &host) const;

    // Name of the table that contains the rows.
    static constexpr std::string_view Table = "currantbay";

private:
    struct SeenHost {
        HostRow row;
        std::uint64_t version = 0;
        Core::TimePoint changedAt {};
    };
    struct SeenHolder {
        HolderRow row;
        std::uint64_t version = 0;
        Core::TimePoint changedAt {};
    };
    struct Hold {
        std::uint64_t fence = 0;
        Core::TimePoint ordersAllowedAt {};
        std::uint64_t leaseSession = 0; // The session in which it was claimed.
    };
    struct PendingClaim {
        Core::TimePoint sentAt {};
        std::uint64_t leaseSession = 0;
    };

    void renew();
    void tick();
    void applyHost(const Platform::ChangedRow &row);
    void applyHolder(const Platform::ChangedRow &row);
    void claim(const Core::TargetId &replica);
    void startHolding(const HolderRow &row, std::uint64_t version, std::uint64_t leaseSession);
    // Claims replicas without a live holder, and the held ones that were claimed before the lease last expired.
    void claimDueReplicas();
    [[nodiscard]] bool isLive(const SeenHost &host) const;
    // Whether the host that the row names may still hold its lease. A missing row of the host is no proof that the
    // lease has ended: it may have been removed by a late write of an earlier process.
    [[nodiscard]] bool mayHoldLease(const SeenHolder &holder) const;
    // Whether this host holds the replica, or another one may do so.
    [[nodiscard]] bool mayHaveHolder(const Core::TargetId &replica) const;
    void eraseHosts(const std::function<bool(const Core::HostId &)> &isErased);
    // Removes the row of this host if it still has the version; with version zero, if there is none.
    void removeOwnRow(std::uint64_t version, Platform::TableService::TransactionFunction done);
    // Removes the row of this host if this process has written it.
    void readAndRemoveOwnRow(std::function<void()> done);
    [[nodiscard]] bool isClaimable(const Core::TargetId &replica,
                                   std::vector<Platform::RowCondition> &conditions) const;
    // Removes the row of one replica that has been gone for long, if it is the turn of this host.
    void removeGoneRow();
    // Whether this host is the one to remove the row: its live holder, or the first live host if there is none. Adds
    // the conditions of the removal.
    [[nodiscard]] bool isRemover(const Core::TargetId &replica, std::vector<Platform::RowCondition> &conditions) const;
    [[nodiscard]] bool isOwn(const HolderRow &row) const;
    // Whether this host, in this process or an earlier one, is the holder or the last holder by the replica's row.
    [[nodiscard]] bool isLastHolder(const Core::TargetId &replica) const;
    // The replicas without a live holder that this host should claim. Each is assigned to the host of its zone that
    // holds the fewest relative to its weight.
    [[nodiscard]] std::vector<Core::TargetId> replicasToClaim() const;

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    HolderTableOptions m_options;
    ReplicasFunction m_replicas;
    WriteFunction m_write;
    std::map<Core::HostId, SeenHost> m_hosts;
    std::map<Core::TargetId, SeenHolder> m_holders;
    std::map<Core::TargetId, Hold> m_holds;
    std::map<Core::TargetId, PendingClaim> m_claims;
    GoneRows m_goneRows;
    GoneFunction m_isGone; // Null if no rows are removed.
    std::optional<Core::TimePoint> m_removalSentAt; // Of the removal whose outcome isn't known.
    Core::Duration m_retryDelay {};
    Core::TimePoint m_startedAt {};
    Core::TimePoint m_leaseExpiresAt {};
    std::uint64_t m_leaseSession = 0; // Increases each time the lease is renewed after it had expired.
    std::map<Core::HostId, Core::TimePoint> m_missingSince; // Hosts whose row was seen and has been removed.
    std::optional<Core::TimePoint> m_rowsSince; // When rows were applied for the first time.
    bool m_isLeaving = false;
};

}
