#include <LibRouting/Quarantine.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <map>

namespace Routing {

namespace {

// Bounds the messages of one exchange. More parts than this are hardly refused at the same time.
constexpr std::size_t MaxExchangedRefusals = 16;
// One of them may have failed while it is still listed.
constexpr std::size_t ForwardersPerZone = 2;

}

QuarantineOptions QuarantineOptions::forPromptParts()
{
    return {.table = {.deathsUntilRefused = 3,
                      .deathsUntilUndistinguishedRefused = 5,
                      .deathsKept = 16,
                      .simultaneity = std::chrono::milliseconds(100),
                      .trust = std::chrono::seconds(2)},
            .exchangePeriod = std::chrono::milliseconds(500)};
}

Quarantine::Quarantine(Core::Scheduler &scheduler, Peer::PeerRouter &router, QuarantineHosts hosts,
                       QuarantineOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_hosts(std::move(hosts))
    , m_exchangePeriod(options.exchangePeriod)
    , m_table(options.table)
{
}

void Quarantine::start()
{
    m_router.onMessage<QuarantineNotice>([this](const Core::HostId &from, const QuarantineNotice &notice) {
        handleNotice(from, notice);
    });
    if (m_exchangePeriod > Core::Duration::zero()) {
        exchange();
    }
}

void Quarantine::recordDeath(std::uint64_t fingerprint, const TargetDeath &death)
{
    const QuarantineNotice notice {.fingerprint = fingerprint, .deaths = {death}};
    if (apply(notice)) {
        broadcast(notice, Recipients::AllZones);
    }
}

void Quarantine::recordDeath(std::span<const std::uint64_t> fingerprints, const TargetDeath &death)
{
    std::vector<std::uint64_t> companions(fingerprints.begin(), fingerprints.end());
    std::ranges::sort(companions);
    for (const auto fingerprint : fingerprints) {
        const QuarantineNotice notice {.fingerprint = fingerprint, .deaths = {death}, .companions = companions};
        if (apply(notice)) {
            broadcast(notice, Recipients::AllZones);
        }
    }
}

void Quarantine::recordCompletion(std::uint64_t fingerprint)
{
    const QuarantineNotice notice {.fingerprint = fingerprint};
    if (apply(notice)) {
        broadcast(notice, Recipients::AllZones);
    }
}

void Quarantine::recordCompletion(std::span<const std::uint64_t> fingerprints)
{
    if (m_table.clear(fingerprints, m_scheduler.now())) {
        broadcast({.companions = {fingerprints.begin(), fingerprints.end()}}, Recipients::AllZones);
    }
}

Suspicion Quarantine::suspicionOf(std::uint64_t fingerprint) const
{
    return m_table.suspicionOf(fingerprint, m_scheduler.now());
}

Suspicion Quarantine::suspicionOf(std::span<const std::uint64_t> fingerprints) const
{
    return m_table.suspicionOf(fingerprints, m_scheduler.now());
}

void Quarantine::handleNotice(const Core::HostId &from, const QuarantineNotice &notice)
{
    if (!notice.deaths.empty() && m_table.isTrusted(notice.fingerprint, m_scheduler.now())) {
        // The sender doesn't know that the part has run to completion here.
        m_router.send(from, QuarantineNotice {.companions = {notice.fingerprint}});
        return;
    }
    if (apply(notice) && notice.forwarding == Forwarding::ToZone) {
        broadcast(notice, Recipients::OwnZone);
    }
}

bool Quarantine::apply(const QuarantineNotice &notice)
{
    const auto now = m_scheduler.now();
    if (notice.deaths.empty()) {
        return notice.companions.empty() ? m_table.clear(notice.fingerprint, now)
                                         : m_table.clear(notice.companions, now);
    }
    const bool wasRefused = m_table.suspicionOf(notice.fingerprint, now) == Suspicion::Refused;
    const bool isChanged = m_table.add(notice, now);
    if (isChanged && !wasRefused) {
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
    const auto &self = m_hosts.self;
    std::map<Core::ZoneId, std::vector<Core::RendezvousCandidate>> otherZones;
    notice.forwarding = Forwarding::None;
    for (const auto &host : m_hosts.live()) {
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
    // Depends on the death, so that a host that can't forward misses only some of the deaths.
    auto key = std::to_string(notice.fingerprint);
    if (!notice.deaths.empty()) {
        key += notice.deaths.front().target.value + notice.deaths.front().incarnation;
    }
    for (const auto &[zone, hosts] : otherZones) {
        const auto ranked = Core::rankByRendezvous(key, hosts);
        for (const auto &host : std::span(ranked).first(std::min(ForwardersPerZone, ranked.size()))) {
            m_router.send(Core::HostId {host}, notice);
        }
    }
}

void Quarantine::exchange()
{
    m_scheduler.runAfter(m_exchangePeriod, [this] {
        exchange();
    });
    const auto refusals = m_table.refusals(MaxExchangedRefusals, m_scheduler.now());
    if (refusals.empty()) {
        return;
    }
    std::vector<Core::RendezvousCandidate> others;
    for (const auto &host : m_hosts.live()) {
        if (host.id != m_hosts.self.id) {
            others.push_back({.name = host.id.value});
        }
    }
    if (others.empty()) {
        return;
    }
    const auto turn = m_hosts.self.id.value + '/' + std::to_string(++m_exchanges);
    const Core::HostId receiver {Core::rankByRendezvous(turn, others).front()};
    for (const auto &notice : refusals) {
        m_router.send(receiver, notice);
    }
}

}
