#pragma once

#include <LibMembership/OwnershipView.h>
#include <LibOwner/TakeoverMessages.h>
#include <LibPeer/PeerRouter.h>
#include <map>

namespace Owner {

// The grants that this host's front has requested or holds. A new owner of a target queries them, so that it does not
// evict an adapter that a running request uses.
class HeldGrants
{
public:
    HeldGrants(Peer::PeerRouter &router, Membership::OwnershipView &ownership);

    void start();
    // Adds a grant that is about to be requested from an owner.
    void addPending(const Core::GrantId &grant, const Core::AdapterVersion &adapter, const Core::HostId &owner);
    // Records that the owner has granted it on the target under the fence. Returns false if the grant must not be used:
    // this host has since learnt of a newer owner of the target, and hasn't announced the grant to it.
    [[nodiscard]] bool markGranted(const Core::GrantId &grant, const Core::TargetId &target, std::uint64_t fence);
    // Removes a grant that the front no longer needs. The caller notifies the owner that issued it. If another host
    // owns the target now, this function notifies that host.
    void release(const Core::GrantId &grant);

private:
    struct Grant {
        Core::AdapterVersion adapter;
        Core::HostId owner;
        Core::TargetId target;
        // The new owners that were told of it while it was pending, as the fence of each target's.
        std::map<Core::TargetId, std::uint64_t> announced;
    };

    [[nodiscard]] GrantAnnouncement announce(const Core::HostId &from, const GrantQuery &query);

    Peer::PeerRouter &m_router;
    Membership::OwnershipView &m_ownership;
    std::map<Core::GrantId, Grant> m_grants;
};

}
