#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Membership {

// One host's exclusive right to give orders to a target. The next ownership of the target has a higher fence.
struct Ownership {
    Core::TargetId target;
    Core::HostId owner;
    std::uint64_t fence = 0; // The fencing token, higher than that of every earlier ownership of the target.
};

// This host has become a target's owner. A target that checks fences now refuses the orders of the previous owner.
struct OwnershipGain {
    Core::TargetId target;
    std::uint64_t fence = 0;
    // The host that may still give grants on the target; none if the target never had an owner.
    std::optional<Core::HostId> previousOwner;
};

// Which host owns which target, as known by this host.
class OwnershipView
{
public:
    virtual ~OwnershipView() = default;
    // Returns nothing when no owner is known. For a target in another zone it returns the likely owner with fence zero.
    [[nodiscard]] virtual std::optional<Ownership> ownerOf(const Core::TargetId &target) const = 0;
    // The targets that this host owns now, on which it may give grants and orders. Each order carries the fence.
    [[nodiscard]] virtual std::vector<Ownership> owned() const = 0;

    // The function runs when this host has become the owner of a target.
    virtual void onGained(std::function<void(const OwnershipGain &)> function) = 0;
    // The function runs when this host has ceased to own a target.
    virtual void onLost(std::function<void(const Core::TargetId &)> function) = 0;
    // The function runs when an eviction allowlist or the set of unconfirmed previous holders has changed, on which the
    // results of the functions below depend.
    virtual void onEvictionPermissionChanged(std::function<void()> function) = 0;

    // True when an unload that this host sends now is harmless however late it arrives: either the target would refuse
    // it after a takeover, or the adapter is in this host's recorded eviction allowlist.
    [[nodiscard]] virtual bool isUnloadSafe(const Core::TargetId &target,
                                            const Core::AdapterVersion &adapter) const = 0;
    // True when this host may order the target to load. For a target that ignores fences this needs a held lease or a
    // recorded eviction allowlist; the allowlist lets the target go on serving through an outage of the table service.
    [[nodiscard]] virtual bool mayLoad(const Core::TargetId &target) const = 0;
    // Requests that the adapter be recorded in the eviction allowlist of a target that ignores fences.
    virtual void requestEvictionPermission(const Core::TargetId &target, const Core::AdapterVersion &adapter) = 0;
    // Records that an unload is about to be sent.
    virtual void beginUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter) = 0;
    // Records that an unload has ended with a response. An unload without a response ends when a later unload of the
    // same adapter gets one.
    virtual void endUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter) = 0;
    // True when this host doesn't hold the target and no unload that it sent can still take effect there.
    [[nodiscard]] virtual bool hasStopped(const Core::TargetId &target) const = 0;
    // True while the adapter may still be evicted from the target by a previous holder or by an earlier unload of this
    // host, so that nothing may be placed on it.
    [[nodiscard]] virtual bool mayStillBeEvicted(const Core::TargetId &target,
                                                 const Core::AdapterVersion &adapter) const = 0;
    // The previous holders of a target that ignores fences which haven't been confirmed to have stopped.
    [[nodiscard]] virtual std::vector<Core::HostId> unconfirmedPreviousHolders(const Core::TargetId &target) const = 0;
    // Records that the previous holder has stopped and that none of its orders is in transit.
    virtual void confirmStopped(const Core::TargetId &target, const Core::HostId &previousHolder) = 0;
    // Records an ownership reported by another host. Returns false when this host knows a higher fence.
    virtual bool recordOwnership(const Ownership &ownership) = 0;
};

}
