#pragma once

#include <LibMembership/OwnershipView.h>
#include <LibOwner/TakeoverMessages.h>
#include <LibPeer/PeerRouter.h>
#include <map>

namespace Owner {

// The grants that this host's front has asked for or holds. A new owner of a target asks for them, so that it evicts
// no adapter that a request uses.
class HeldGrants
{
public:
    HeldGrants(Peer::PeerRouter &router, Membership::OwnershipView &ownership);

    void start();
    // A grant is about to be asked of an owner.
    void addPending(const Core::GrantId &grant, const Core::AdapterVersion &adapter, const Core::HostId &owner);
    // The owner has given it.
    void markGranted(const Core::GrantId &grant, const Core::TargetId &target);
    // The front no longer wants it. The owner that gave it is told by the caller of this function; should another host
    // own the target now, this function tells that one.
    void release(const Core::GrantId &grant);

private:
    struct Grant {
        Core::AdapterVersion adapter;
        Core::HostId owner;
        Core::TargetId target;
    };

    [[nodiscard]] GrantAnnouncement answer(const Core::HostId &from, const GrantQuery &query);

    Peer::PeerRouter &m_router;
    Membership::OwnershipView &m_ownership;
    std::map<Core::GrantId, Grant> m_grants;
};

}
