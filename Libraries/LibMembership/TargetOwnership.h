#pragma once

#include <LibEngine/EngineLink.h>
#include <LibMembership/HostLeases.h>
#include <LibMembership/OwnershipRows.h>
#include <LibMembership/OwnershipView.h>
#include <LibMembership/PeerLiveness.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <set>

namespace Membership {

struct TargetOwnershipOptions {
    Core::Duration tickPeriod = std::chrono::milliseconds(500);
    // How often the zone's rows are all read when nothing asks for it sooner.
    Core::Duration scanPeriod = std::chrono::milliseconds(5000);
    // How often a target that checks fences is asked whether this host's fence still is the highest.
    Core::Duration confirmPeriod = std::chrono::milliseconds(3000);
    // How long such an answer lets this host grant and order, counted from before it was asked.
    Core::Duration confirmTerm = std::chrono::milliseconds(8000);
    std::size_t handoversPerTick = 4;
    std::size_t largestAllowance = 8; // Adapters of one target.
};

// Ownership of the zone's engines by one table row each. A row changes hands only in a transaction that names its
// former version and what shows that the former owner has ended. A target that checks fences has the last word: this
// host acts on it only while the target has lately confirmed this host's fence, so that a taker knows when the former
// owner has stopped granting, with or without the table.
class TargetOwnership final : public OwnershipView
{
public:
    TargetOwnership(Core::Scheduler &scheduler, Platform::TableService &table, Peer::PeerRouter &router,
                    Engine::EngineLink &engines, HostLeases &leases, const Platform::TargetDirectory &directory,
                    TargetOwnershipOptions options);

    void start();
    // Hands every target over at once; the function runs when the table has answered or has failed to.
    void leave(std::function<void()> done);

    [[nodiscard]] std::optional<Ownership> ownerOf(const Core::TargetId &target) const override;
    [[nodiscard]] std::vector<Ownership> owned() const override;
    void onGained(std::function<void(const OwnershipGain &)> function) override;
    void onLost(std::function<void(const Core::TargetId &)> function) override;
    void onEvictionPermissionChanged(std::function<void()> function) override;
    [[nodiscard]] bool isUnloadSafe(const Core::TargetId &target, const Core::AdapterVersion &adapter) const override;
    void requestEvictionPermission(const Core::TargetId &target, const Core::AdapterVersion &adapter) override;
    void beginUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter) override;
    void endUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter) override;
    [[nodiscard]] bool hasStopped(const Core::TargetId &target) const override;
    [[nodiscard]] bool mayStillBeEvicted(const Core::TargetId &target,
                                         const Core::AdapterVersion &adapter) const override;
    [[nodiscard]] std::vector<Core::HostId> unconfirmedPreviousHolders(const Core::TargetId &target) const override;
    [[nodiscard]] bool mayLoad(const Core::TargetId &target) const override;
    void confirmStopped(const Core::TargetId &target, const Core::HostId &former) override;
    bool recordOwnership(const Ownership &ownership) override;

private:
    struct Held {
        std::uint64_t fence = 0;
        std::uint64_t session = 0; // Zero while the table doesn't show this ownership.
        std::optional<Core::HostId> former;
        bool isGained = false; // The gain has been told.
        bool isConfirming = false;
        Core::TimePoint confirmedUntil {};
        Core::TimePoint nextConfirmation {};
        std::vector<Core::AdapterVersion> wantedAllowance;
        std::vector<Core::AdapterVersion> droppedAllowance; // No longer used, though the table may still show them.
        std::vector<FormerHolder> settledFormers;
    };

    struct Claim {
        OwnershipRow row;
        std::optional<Core::HostId> former;
    };

    void tick();
    void listCandidates();
    void dropUnlisted();
    void consider(const Platform::Target &target);
    void considerHeld(const Platform::Target &target, Held &held);
    void considerWithoutTable(const Platform::Target &target);
    [[nodiscard]] bool isClaimedElsewhere(const KnownOwnership &known) const;
    // Whether the row's owner has ended, and the lease row that the takeover must name, if any.
    [[nodiscard]] bool isTakeable(const OwnershipRow &row, std::vector<Platform::RowCondition> &conditions) const;
    void claim(const Platform::Target &target, const std::vector<Platform::RowCondition> &conditions);
    [[nodiscard]] OwnershipRow claimedRow(const Platform::Target &target, std::uint64_t fence);
    void settleClaim(const Core::TargetId &target);
    void handOver(const Core::TargetId &target, const Core::HostId &to);
    void writeAllowance(const Core::TargetId &target, Held &held);
    void settleReleasedFormers(const Core::TargetId &target);
    [[nodiscard]] std::vector<FormerHolder> formersOf(const Core::TargetId &target) const;
    void hold(const Core::TargetId &target, std::uint64_t fence, std::uint64_t session,
              const std::optional<Core::HostId> &former);
    void lose(const Core::TargetId &target);
    void takeKnown(const Core::TargetId &target);
    void confirmIfDue(const Core::TargetId &target, Held &held);
    void takeConfirmation(const Core::TargetId &target, std::uint64_t fence, Core::TimePoint askedAt,
                          Engine::OrderOutcome outcome);
    void tellGain(const Core::TargetId &target, Held &held);
    [[nodiscard]] bool isSelf(const OwnershipRow &row) const;
    [[nodiscard]] bool isEffective(const Core::TargetId &target, const Held &held) const;
    [[nodiscard]] bool isChecking(const Core::TargetId &target) const;
    [[nodiscard]] std::optional<Core::HostId> desiredOwner(const Core::TargetId &target) const;
    [[nodiscard]] std::optional<Ownership> likelyOwner(const Platform::Target &target) const;
    [[nodiscard]] std::vector<TablelessClaim> tablelessClaims() const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Engine::EngineLink &m_engines;
    HostLeases &m_leases;
    const Platform::TargetDirectory &m_directory;
    TargetOwnershipOptions m_options;
    OwnershipRows m_rows;
    PeerLiveness m_liveness;
    std::map<Core::TargetId, Claim> m_claims; // Those whose outcome isn't known.
    std::map<Core::TargetId, Held> m_held;
    std::map<Core::TargetId, std::vector<Core::AdapterVersion>> m_unloads; // Sent, and not known to have ended.
    std::vector<Core::HostId> m_candidates; // Hosts that may own targets of the zone, as of this tick.
    std::size_t m_handoversLeft = 0;
    std::size_t m_handoversRunning = 0;
    bool m_isLeaving = false;
    std::function<void()> m_left;
    std::function<void(const OwnershipGain &)> m_gained = [](const auto &) {};
    std::function<void(const Core::TargetId &)> m_lost = [](const auto &) {};
    std::function<void()> m_allowanceChanged = [] {};
};

}
