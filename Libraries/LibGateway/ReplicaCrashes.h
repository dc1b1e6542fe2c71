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

    // Whether the request of an attempt that broke off may have made the replica crash.
    enum class Role : std::uint8_t {
        // Its answer was about to begin.
        Suspect,
        // Its answer had been under way for longer than a crash takes.
        Bystander,
    };

    // Records that an attempt at the replica has broken off. A suspect without fingerprints can't be recognised again.
    void recordBreak(const Fleet::Replica &replica, Role role, std::span<const std::uint64_t> fingerprints);
    // Records that the replica has sent something.
    void recordActivity(const Fleet::Replica &replica);

private:
    // A replica at which attempts have broken off.
    struct Break {
        Core::TimePoint at {}; // Of the first attempt.
        unsigned attempts = 0; // Since the replica last sent something.
        unsigned unidentified = 0; // Suspects without fingerprints.
        std::vector<std::vector<std::uint64_t>> suspects;
    };

    void decide(const Routing::TargetDeath &death);

    Core::Scheduler &m_scheduler;
    Routing::Quarantine &m_quarantine;
    std::map<Routing::TargetDeath, Break> m_breaks;
};

}
