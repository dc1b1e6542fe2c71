#pragma once

#include <LibEngine/EngineLink.h>
#include <LibMembership/HostLeases.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>

namespace Host {

// Forwards a target's own report from its owner to another host of the same zone.
struct TargetNotice {
    static constexpr auto Kind = Peer::MessageKind::TargetNotice;

    Core::TargetId target;
    std::string incarnation;
    bool isLeaving = false;

    MSGPACK_DEFINE(target, incarnation, isLeaving)
};

// Records the targets' own reports in the directory, and notifies the zone's other hosts of a target that starts to
// leave or has restarted. Such changes are rare, and each notice is sent several times because messages can be lost.
class TargetNotices
{
public:
    TargetNotices(Peer::PeerRouter &router, Platform::TargetDirectory &directory, const Membership::HostLeases &leases);

    void start();
    void handleReport(const Core::TargetId &target, const Engine::EngineStatus &status);

private:
    void notifyZone(const Core::TargetId &target, const Engine::EngineStatus &status);

    Peer::PeerRouter &m_router;
    Platform::TargetDirectory &m_directory;
    const Membership::HostLeases &m_leases;
    std::map<Core::TargetId, int> m_sendsLeft;
};

}
