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
    // How often all rows of the zone are read when no event requires it sooner.
    Core::Duration scanPeriod = std::chrono::milliseconds(5000);
    // How often a target that checks fences is asked whether this host's fence is still the highest.
    Core::Duration confirmationPeriod = std::chrono::milliseconds(3000);
    // How long such a confirmation allows this host to give grants and orders, counted from before it was requested.
    Core::Duration confirmationTerm = std::chrono::milliseconds(8000);
    std::size_t handoversPerTick = 4;
    std::size_t maxEvictionAllowlistSize = 8; // In adapters, for each target.
};

// Claims, holds and hands over the ownership of the zone's engines, each recorded in one table row. A row changes owner
// only in a transaction that is conditional on the version read and on the proof that the previous owner has ended. A
// target that checks fences has the final say: this host acts on it only while the target has recently confirmed this
// host's fence. A new owner can therefore tell when the previous one has stopped granting, with or without the table.
class TargetOwnership final : public OwnershipView
{
public:
    TargetOwnership(Core::Scheduler &scheduler, Platform::TableService &table, Peer::PeerRouter &router,
                    Engine::EngineLink &engines, HostLeases &leases, const Platform::TargetDirectory &directory,
                    TargetOwnershipOptions options);

    void start();
    // Hands over every target at once. The function runs when each write to the table has ended, with or without a
    // response.
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
    void confirmStopped(const Core::TargetId &target, const Core::HostId &previousHolder) override;
    bool recordOwnership(const Ownership &ownership) override;

private:
    struct HeldTarget {
        std::uint64_t fence = 0;
        std::uint64_t session = 0; // Zero while the table doesn't show this ownership.
        std::optional<Core::HostId> previousOwner;
        bool isGainReported = false;
        bool isConfirming = false;
        Core::TimePoint confirmedUntil {};
        Core::TimePoint nextConfirmation {};
        std::vector<Core::AdapterVersion> requestedEvictions;
        std::vector<Core::AdapterVersion> revokedEvictions; // No longer permitted, though the row may still list them.
        std::vector<PreviousHolder> stoppedHolders;
    };

    struct Claim {
        OwnershipRow row;
        std::optional<Core::HostId> previousOwner;
    };

    void tick();
    void updateCandidates();
    void dropUnlistedTargets();
    void updateOwnership(const Platform::Target &target);
    void updateHeldTarget(const Platform::Target &target, HeldTarget &held);
    void takeOverWithoutTable(const Platform::Target &target);
    [[nodiscard]] bool isClaimedByLiveHost(const KnownOwnership &known) const;
    // True when the row's owner has ended. Adds the condition on its lease row that a takeover must carry, if any.
    [[nodiscard]] bool isClaimable(const OwnershipRow &row, std::vector<Platform::RowCondition> &conditions) const;
    void claim(const Platform::Target &target, const std::vector<Platform::RowCondition> &conditions);
    [[nodiscard]] OwnershipRow makeClaimedRow(const Platform::Target &target, std::uint64_t fence);
    void completeClaim(const Core::TargetId &target);
    void handOver(const Core::TargetId &target, const Core::HostId &to);
    void writeEvictionAllowlist(const Core::TargetId &target, HeldTarget &held);
    void confirmReleasedHolders(const Core::TargetId &target);
    [[nodiscard]] std::vector<PreviousHolder> unconfirmedHoldersOf(const Core::TargetId &target) const;
    void holdTarget(const Core::TargetId &target, std::uint64_t fence, std::uint64_t session,
                    const std::optional<Core::HostId> &previousOwner);
    void dropTarget(const Core::TargetId &target);
    void handleRowChange(const Core::TargetId &target);
    void confirmIfDue(const Core::TargetId &target, HeldTarget &held);
    void handleConfirmation(const Core::TargetId &target, std::uint64_t fence, Core::TimePoint sentAt,
                            Engine::OrderOutcome outcome);
    void reportGain(const Core::TargetId &target, HeldTarget &held);
    [[nodiscard]] bool isSelf(const OwnershipRow &row) const;
    [[nodiscard]] bool isEffective(const Core::TargetId &target, const HeldTarget &held) const;
    [[nodiscard]] bool checksFences(const Core::TargetId &target) const;
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
    std::map<Core::TargetId, Claim> m_claims; // Claims whose outcome is unknown.
    std::map<Core::TargetId, HeldTarget> m_held;
    std::map<Core::TargetId, std::vector<Core::AdapterVersion>> m_unloads; // Sent and not known to have ended.
    std::vector<Core::HostId> m_candidates; // Hosts that may own the zone's targets, updated each tick.
    std::size_t m_handoversLeft = 0;
    std::size_t m_handoversRunning = 0;
    bool m_isLeaving = false;
    std::function<void()> m_onHandedOver;
    std::function<void(const OwnershipGain &)> m_onGained = [](const auto &) {};
    std::function<void(const Core::TargetId &)> m_onLost = [](const auto &) {};
    std::function<void()> m_onEvictionPermissionChanged = [] {};
};

}
