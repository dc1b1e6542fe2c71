#pragma once

#include <LibCore/Scheduler.h>
#include <LibHolding/HoldingRows.h>
#include <LibPlatform/RowFeed.h>
#include <LibPlatform/TableService.h>
#include <functional>
#include <map>
#include <vector>

namespace Holding {

struct HolderTableOptions {
    HostRow self;
    Core::Duration renewalPeriod = std::chrono::milliseconds(3000);
    // How long a renewal lets this host give orders, counted from before it was sent. Longer than the outages of the
    // store that are met, since a host that can't renew can't load adapters either.
    Core::Duration term = std::chrono::milliseconds(12000);
    // Added by other hosts before they count a lease as lapsed; covers clocks that run at different rates.
    Core::Duration lapseMargin = std::chrono::milliseconds(1000);
    // No order of a new holder before this long after its claim: orders of two holders must not alternate.
    Core::Duration handoverGap = std::chrono::milliseconds(3500);
    Core::Duration tickPeriod = std::chrono::milliseconds(500);
    Core::Duration retryDelay = std::chrono::milliseconds(300); // After a renewal that failed; doubles.
    Core::Duration longestRetryDelay = std::chrono::milliseconds(1200); // Refused calls are charged like others.
    std::size_t claimsPerTick = 8;
    // How long a host that has started looks for others before it claims what it didn't hold before.
    Core::Duration settleTime = std::chrono::milliseconds(1500);
    // How long a replica that was given up is left to its last holder, which needs no gap should it start again.
    Core::Duration returnTime = std::chrono::milliseconds(2500);
};

// A replica that wants a holder.
struct ClaimableReplica {
    Core::TargetId replica;
    Core::ZoneId zone;
};

// The rows by which hosts find each other and agree on who gives orders to which replica. A replica is claimed in a
// transaction that names its row's former version, by the live host of its zone that holds the fewest for its weight.
// A holder stays until it ends; another host takes over only when the holder's lease has surely lapsed.
class HolderTable
{
public:
    using ReplicasFunction = std::function<std::vector<ClaimableReplica>()>;
    // Writes a row; the function that it is given runs once, with true only if the row has surely been written.
    using WriteFunction = std::function<void(Platform::RowPut row, std::function<void(bool isWritten)> done)>;

    HolderTable(Core::Scheduler &scheduler, Platform::TableService &table, HolderTableOptions options,
                ReplicasFunction replicas, WriteFunction write);

    void start();
    // Takes the table's rows: all of them, or those that changed.
    void apply(const Platform::FeedResult &rows, bool isWhole);
    // Gives up every replica and deletes the host's row; the function runs when the store has answered or failed to.
    void leave(std::function<void()> done);

    // The fence under which this host may give an order to the replica right now; without a value it may not.
    [[nodiscard]] std::optional<std::uint64_t> orderFence(const Core::TargetId &replica) const;
    // Replicas that this host holds, also those to which it may not give orders yet.
    [[nodiscard]] std::vector<Core::TargetId> held() const;
    // The live host that holds the replica; without a value there is none.
    [[nodiscard]] std::optional<Core::HostId> holderOf(const Core::TargetId &replica) const;
    // Hosts whose lease hasn't lapsed, this one included, by id.
    [[nodiscard]] std::vector<HostRow> liveHosts() const;
    // How many those are.
    [[nodiscard]] std::size_t liveHostCount() const;
    [[nodiscard]] std::optional<std::string> peerAddress(const Core::HostId &host) const;

    // The table that all rows lie in.
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
        Core::TimePoint ordersFrom {};
    };

    void renew();
    void tick();
    void takeHost(const Platform::ChangedRow &row);
    void takeHolder(const Platform::ChangedRow &row);
    void claim(const Core::TargetId &replica);
    void hold(const HolderRow &row, std::uint64_t version);
    [[nodiscard]] bool isLive(const SeenHost &host) const;
    [[nodiscard]] bool isClaimable(const Core::TargetId &replica,
                                   std::vector<Platform::RowCondition> &conditions) const;
    [[nodiscard]] bool isOwn(const HolderRow &row) const;
    // The replica's row names this host as its holder, or as the last one, in this process or an earlier one.
    [[nodiscard]] bool isNamed(const Core::TargetId &replica) const;
    // Replicas without a live holder that this host is to claim: each goes to the host of its zone that has the fewest
    // for its weight.
    [[nodiscard]] std::vector<Core::TargetId> ownShare() const;

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    HolderTableOptions m_options;
    ReplicasFunction m_replicas;
    WriteFunction m_write;
    std::map<Core::HostId, SeenHost> m_hosts;
    std::map<Core::TargetId, SeenHolder> m_holders;
    std::map<Core::TargetId, Hold> m_holds;
    std::map<Core::TargetId, Core::TimePoint> m_claims; // Under way, and when they were sent.
    Core::Duration m_retryDelay {};
    Core::TimePoint m_startedAt {};
    Core::TimePoint m_heldUntil {};
    bool m_isFilled = false;
    bool m_isLeaving = false;
};

}
