#include <LibHost/TargetNotices.h>

#include <LibLog/Log.h>

namespace Host {

namespace {

constexpr int SendsPerNotice = 4;

}

TargetNotices::TargetNotices(Peer::PeerRouter &router, Platform::TargetDirectory &directory,
                             const Membership::HostLeases &leases)
    : m_router(router)
    , m_directory(directory)
    , m_leases(leases)
{
}

void TargetNotices::start()
{
    m_directory.onLeaving([](const Core::TargetId &target) {
        Log::write(Log::Event::TargetLeaving, {{"target", target.value}});
    });
    m_router.onMessage<TargetNotice>([this](const Core::HostId & /*from*/, const TargetNotice &notice) {
        (void)m_directory.recordReport(
            {.target = notice.target, .incarnation = notice.incarnation, .isLeaving = notice.isLeaving});
    });
}

void TargetNotices::handleReport(const Core::TargetId &target, const Engine::EngineStatus &status)
{
    if (m_directory.recordReport(
            {.target = target, .incarnation = status.incarnation, .isLeaving = status.isLeaving})) {
        m_sendsLeft[target] = SendsPerNotice;
    }
    const auto left = m_sendsLeft.find(target);
    if (left == m_sendsLeft.end()) {
        return;
    }
    notifyZone(target, status);
    if (--left->second == 0) {
        m_sendsLeft.erase(left);
    }
}

void TargetNotices::notifyZone(const Core::TargetId &target, const Engine::EngineStatus &status)
{
    for (const auto &host : m_leases.liveHosts()) {
        if (host.id != m_router.self() && host.zone == m_leases.self().zone) {
            m_router.send(
                host.id,
                TargetNotice {.target = target, .incarnation = status.incarnation, .isLeaving = status.isLeaving});
        }
    }
}

}
