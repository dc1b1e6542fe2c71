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
    // Records that the owner has granted it on the target.
    void markGranted(const Core::GrantId &grant, const Core::TargetId &target);
    // Removes a grant that the front no longer needs. The caller notifies the owner that issued it. If another host
    // owns the target now, this function notifies that host.
    void release(const Core::GrantId &grant);

private:
    struct Grant {
        Core::AdapterVersion adapter;
        Core::HostId owner;
        Core::TargetId target;
    };

    [[nodiscard]] GrantAnnouncement announce(const Core::HostId &from, const GrantQuery &query);

    Peer::PeerRouter &m_router;
    Membership::OwnershipView &m_ownership;
    std::map<Core::GrantId, Grant> m_grants;
};

}
