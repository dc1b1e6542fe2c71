#pragma once

#include <LibCore/Scheduler.h>
#include <LibFleet/Replica.h>
#include <LibRouting/Quarantine.h>
#include <map>
#include <span>
#include <vector>

namespace Gateway {

// Recognises that a replica has crashed by the attempts that break off there and the silence that follows, and records
// the parts of the prompts whose answers were about to begin. An attempt that breaks off at a replica that goes on
// sending to others is no crash.
class ReplicaCrashes
{
public:
    ReplicaCrashes(Core::Scheduler &scheduler, Routing::Quarantine &quarantine);

    // Records that an attempt at the replica has broken off. The parts are those of its prompt if the answer may have
    // been about to begin; there are none if it can't have caused a crash.
    void recordBreak(const Fleet::Replica &replica, std::span<const std::uint64_t> promptParts);
    // Records that the replica has sent something.
    void recordActivity(const Fleet::Replica &replica);

private:
    // A replica at which attempts have broken off.
    struct Break {
        Core::TimePoint at {}; // Of the first attempt.
        std::vector<std::vector<std::uint64_t>> prompts;
    };

    void decide(const Routing::TargetDeath &death);

    Core::Scheduler &m_scheduler;
    Routing::Quarantine &m_quarantine;
    std::map<Routing::TargetDeath, Break> m_breaks;
};

}
