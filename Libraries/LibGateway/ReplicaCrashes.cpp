#include <LibGateway/ReplicaCrashes.h>

#include <LibLog/Log.h>

namespace Gateway {

namespace {

// A replica that has sent nothing for this long after an attempt broke off has crashed. A busy one sends several events
// in this time.
constexpr auto SilenceAfterCrash = std::chrono::milliseconds(100);
// Bytes that arrived before the crash may be read this much later than its first sign.
constexpr auto ReceiveDelay = std::chrono::milliseconds(30);

Routing::TargetDeath deathOf(const Fleet::Replica &replica)
{
    return {.target = replica.id, .incarnation = std::to_string(replica.startedAt)};
}

}

ReplicaCrashes::ReplicaCrashes(Core::Scheduler &scheduler, Routing::Quarantine &quarantine)
    : m_scheduler(scheduler)
    , m_quarantine(quarantine)
{
}

void ReplicaCrashes::recordBreak(const Fleet::Replica &replica, Role role, std::span<const std::uint64_t> fingerprints)
{
    const auto death = deathOf(replica);
    const auto [found, isNew] = m_breaks.try_emplace(death);
    if (isNew) {
        found->second.at = m_scheduler.now();
        m_scheduler.runAfter(SilenceAfterCrash, [this, death] {
            decide(death);
        });
    }
    auto &observed = found->second;
    ++observed.attempts;
    if (role == Role::Bystander) {
        return;
    }
    if (fingerprints.empty()) {
        ++observed.unidentified;
    } else {
        observed.suspects.emplace_back(fingerprints.begin(), fingerprints.end());
    }
}

void ReplicaCrashes::recordActivity(const Fleet::Replica &replica)
{
    if (m_breaks.empty()) {
        return;
    }
    if (const auto found = m_breaks.find(deathOf(replica));
        found != m_breaks.end() && m_scheduler.now() - found->second.at > ReceiveDelay) {
        found->second = {.at = found->second.at};
    }
}

void ReplicaCrashes::decide(const Routing::TargetDeath &death)
{
    const auto decided = std::move(m_breaks.extract(death).mapped());
    if (decided.attempts == 0) {
        return;
    }
    Log::write(Log::Event::ReplicaCrashed,
               {{"replica", death.target.value},
                {"incarnation", death.incarnation},
                {"attempts", std::to_string(decided.attempts)},
                {"suspects", std::to_string(decided.suspects.size())},
                {"unidentified", std::to_string(decided.unidentified)}});
    for (const auto &fingerprints : decided.suspects) {
        m_quarantine.recordDeath(fingerprints, death);
    }
}

}
