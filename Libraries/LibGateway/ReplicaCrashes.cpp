#include <LibGateway/ReplicaCrashes.h>

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

void ReplicaCrashes::recordBreak(const Fleet::Replica &replica, std::span<const std::uint64_t> promptParts)
{
    const auto death = deathOf(replica);
    const auto [found, isNew] = m_breaks.try_emplace(death);
    if (isNew) {
        found->second.at = m_scheduler.now();
        m_scheduler.runAfter(SilenceAfterCrash, [this, death] {
            decide(death);
        });
    }
    if (!promptParts.empty()) {
        found->second.prompts.emplace_back(promptParts.begin(), promptParts.end());
    }
}

void ReplicaCrashes::recordActivity(const Fleet::Replica &replica)
{
    if (m_breaks.empty()) {
        return;
    }
    if (const auto found = m_breaks.find(deathOf(replica));
        found != m_breaks.end() && m_scheduler.now() - found->second.at > ReceiveDelay) {
        found->second.prompts.clear();
    }
}

void ReplicaCrashes::decide(const Routing::TargetDeath &death)
{
    const auto decided = std::move(m_breaks.extract(death).mapped());
    for (const auto &prompt : decided.prompts) {
        m_quarantine.recordDeath(prompt, death);
    }
}

}
