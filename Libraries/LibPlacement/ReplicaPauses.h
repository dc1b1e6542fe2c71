#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <utility>

namespace Placement {

struct ReplicaPausesOptions {
    Core::Duration maxPause = std::chrono::minutes(10); // A longer pause ends after this time.
    // For this long after a pause, a replica gets no more requests than it has slots.
    Core::Duration returnPeriod = std::chrono::seconds(1);
};

// The pauses that replicas have asked this host for. A replica that is overloaded turns a request away and says for how
// long it wants no others from this host.
class ReplicaPauses
{
public:
    using Incarnation = std::pair<Core::TargetId, std::uint64_t>; // ID and start time of a replica.

    // What a response has changed.
    struct Change {
        bool hasBegun = false; // The replica wasn't paused before.
        Core::Duration added {}; // Time by which the end of the pause was put off.
    };

    explicit ReplicaPauses(ReplicaPausesOptions options = {});

    // Begins a pause, or extends one. A pause never ends sooner because of a later response.
    Change record(const Incarnation &replica, Core::Duration pause, Core::TimePoint now);
    // The end of the replica's pause; empty if it isn't paused.
    [[nodiscard]] std::optional<Core::TimePoint> endOf(const Incarnation &replica, Core::TimePoint now) const;
    // Whether a pause of the replica has ended a short time ago.
    [[nodiscard]] bool isReturning(const Incarnation &replica, Core::TimePoint now) const;
    // Forgets pauses that have no effect any more. To be called periodically.
    void prune(Core::TimePoint now);

private:
    ReplicaPausesOptions m_options;
    std::map<Incarnation, Core::TimePoint> m_ends;
};

}
