#include <LibRouting/Quarantine.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <map>

namespace Routing {

Quarantine::Quarantine(Core::Scheduler &scheduler, Peer::PeerRouter &router, const Membership::HostLeases &leases,
                       QuarantineTableOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_leases(leases)
    , m_table(options)
{
}

void Quarantine::start()
{
    m_router.onMessage<QuarantineNotice>([this](const Core::HostId & /*from*/, const QuarantineNotice &notice) {
        handleNotice(notice);
    });
}

void Quarantine::recordDeath(std::uint64_t fingerprint, const TargetDeath &death)
{
    const QuarantineNotice notice {.fingerprint = fingerprint, .deaths = {death}};
    if (apply(notice)) {
        broadcast(notice, Recipients::AllZones);
    }
}

void Quarantine::recordCompletion(std::uint64_t fingerprint)
{
    const QuarantineNotice notice {.fingerprint = fingerprint};
    if (apply(notice)) {
        broadcast(notice, Recipients::AllZones);
    }
}

Suspicion Quarantine::suspicionOf(std::uint64_t fingerprint) const
{
    return m_table.suspicionOf(fingerprint, m_scheduler.now());
}

void Quarantine::handleNotice(const QuarantineNotice &notice)
{
    if (apply(notice) && notice.forwarding == Forwarding::ToZone) {
        broadcast(notice, Recipients::OwnZone);
    }
}

bool Quarantine::apply(const QuarantineNotice &notice)
{
    const auto now = m_scheduler.now();
    if (notice.deaths.empty()) {
        return m_table.clear(notice.fingerprint, now);
    }
    const bool isChanged = m_table.add(notice.fingerprint, notice.deaths, now);
    if (isChanged) {
        const bool isRefused = m_table.suspicionOf(notice.fingerprint, now) == Suspicion::Refused;
        Log::write(isRefused ? Log::Event::RequestQuarantined : Log::Event::RequestSuspected,
                   {{"fingerprint", std::to_string(notice.fingerprint)},
                    {"target", notice.deaths.front().target.value},
                    {"incarnation", notice.deaths.front().incarnation}});
    }
    return isChanged;
}

void Quarantine::broadcast(QuarantineNotice notice, Recipients recipients)
{
    const auto &self = m_leases.self();
    std::map<Core::ZoneId, std::vector<Core::RendezvousCandidate>> otherZones;
    notice.forwarding = Forwarding::None;
    for (const auto &host : m_leases.liveHosts()) {
        if (host.zone != self.zone) {
            otherZones[host.zone].push_back({.name = host.id.value});
        } else if (host.id != self.id) {
            m_router.send(host.id, notice);
        }
    }
    if (recipients == Recipients::OwnZone) {
        return;
    }
    notice.forwarding = Forwarding::ToZone;
    for (const auto &[zone, hosts] : otherZones) {
        const auto ranked = Core::rankByRendezvous(std::to_string(notice.fingerprint), hosts);
        m_router.send(Core::HostId {ranked.front()}, notice);
    }
}

}
