#include <LibHost/TargetNotices.h>

#include <LibLog/Log.h>

namespace Host {

namespace {

constexpr int Repetitions = 4;

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

void TargetNotices::take(const Core::TargetId &target, const Engine::EngineStatus &status)
{
    if (m_directory.recordReport(
            {.target = target, .incarnation = status.incarnation, .isLeaving = status.isLeaving})) {
        m_repetitionsLeft[target] = Repetitions;
    }
    const auto left = m_repetitionsLeft.find(target);
    if (left == m_repetitionsLeft.end()) {
        return;
    }
    tellZone(target, status);
    if (--left->second == 0) {
        m_repetitionsLeft.erase(left);
    }
}

void TargetNotices::tellZone(const Core::TargetId &target, const Engine::EngineStatus &status)
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
