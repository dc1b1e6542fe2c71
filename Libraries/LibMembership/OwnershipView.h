#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Membership {

// One period in which one host alone may give orders to a target.
struct Ownership {
    Core::TargetId target;
    Core::HostId owner;
    std::uint64_t fence = 0; // Higher than that of every earlier ownership of the target.
};

// This host has become a target's owner, and the target can no longer be misled by a previousOwner one's orders.
struct OwnershipGain {
    Core::TargetId target;
    std::uint64_t fence = 0;
    // Who may still grant on the target; without a value there never was anybody.
    std::optional<Core::HostId> previousOwner;
};

// Who owns which target, as this host knows it.
class OwnershipView
{
public:
    virtual ~OwnershipView() = default;
    // Without a value no owner is known. For a target of another zone it is the likely owner, with fence zero.
    [[nodiscard]] virtual std::optional<Ownership> ownerOf(const Core::TargetId &target) const = 0;
    // The targets that this host owns now, so that it may grant and give orders there. Each order carries the fence.
    [[nodiscard]] virtual std::vector<Ownership> owned() const = 0;

    // Called at each gain, and when another host's ownership has ended this one's.
    virtual void onGained(std::function<void(const OwnershipGain &)> function) = 0;
    virtual void onLost(std::function<void(const Core::TargetId &)> function) = 0;
    // Called when the answers below may have changed.
    virtual void onEvictionPermissionChanged(std::function<void()> function) = 0;

    // True when an unload that this host sends now can do no harm, however late it arrives: the target would refuse
    // it after a takeover, or the adapter is in this host's recorded allowance.
    [[nodiscard]] virtual bool isUnloadSafe(const Core::TargetId &target,
                                            const Core::AdapterVersion &adapter) const = 0;
    // True when this host may order the target to load. Without a held lease a target that ignores fences is only
    // ordered about where an allowance has been recorded, so that it goes on serving through an outage.
    [[nodiscard]] virtual bool mayLoad(const Core::TargetId &target) const = 0;
    // Asks for the adapter to be recorded in the allowance of a target that ignores fences.
    virtual void requestEvictionPermission(const Core::TargetId &target, const Core::AdapterVersion &adapter) = 0;
    // An unload is about to be sent, and has ended with an answer. One without an answer ends when a later one of the
    // same adapter is answered.
    virtual void beginUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter) = 0;
    virtual void endUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter) = 0;
    // True when this host doesn't hold the target and no unload of its own can take effect there any more.
    [[nodiscard]] virtual bool hasStopped(const Core::TargetId &target) const = 0;
    // True while a previousOwner holder may still evict the adapter there, so that nothing may be placed on it.
    [[nodiscard]] virtual bool mayStillBeEvicted(const Core::TargetId &target,
                                                 const Core::AdapterVersion &adapter) const = 0;
    // Former holders of a target that ignores fences that haven't been shown to have stopped.
    [[nodiscard]] virtual std::vector<Core::HostId> unconfirmedPreviousHolders(const Core::TargetId &target) const = 0;
    // The previousOwner holder has said that it has stopped and that none of its orders is on its way.
    virtual void confirmStopped(const Core::TargetId &target, const Core::HostId &previousOwner) = 0;
    // Takes another host's word that it owns the target. Returns false when this host knows a higher fence.
    virtual bool recordOwnership(const Ownership &ownership) = 0;
};

}
