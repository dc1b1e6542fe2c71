#pragma once

#include <LibEngine/EngineLink.h>
#include <LibMembership/HostLeases.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>

namespace Host {

// Tells a host of the same zone what a target's owner heard from the target itself.
struct TargetNotice {
    static constexpr auto Kind = Peer::MessageKind::TargetNotice;

    Core::TargetId target;
    std::string incarnation;
    bool isLeaving = false;

    MSGPACK_DEFINE(target, incarnation, isLeaving)
};

// Joins what targets say of themselves to the directory, and tells the zone's other hosts of a target that begins
// to leave or comes back anew. Such news are rare, and each goes out several times because messages can be lost.
class TargetNotices
{
public:
    TargetNotices(Peer::PeerRouter &router, Platform::TargetDirectory &directory, const Membership::HostLeases &leases);

    void start();
    // Takes a target's own report.
    void take(const Core::TargetId &target, const Engine::EngineStatus &status);

private:
    void tellZone(const Core::TargetId &target, const Engine::EngineStatus &status);

    Peer::PeerRouter &m_router;
    Platform::TargetDirectory &m_directory;
    const Membership::HostLeases &m_leases;
    std::map<Core::TargetId, int> m_repetitionsLeft;
};

}
