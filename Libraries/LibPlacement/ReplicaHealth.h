#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <map>

namespace Placement {

struct ReplicaHealthOptions {
    Core::Duration failureHalfLife = std::chrono::milliseconds(2500); // Of the weight of past outcomes.
    // After the first failed connection; doubles with each further one.
    Core::Duration initialBlock = std::chrono::milliseconds(400);
    Core::Duration maxBlock = std::chrono::milliseconds(2000);
    Core::Duration zoneBlock = std::chrono::milliseconds(1500); // When two replicas of a zone are unreachable.
    Core::Duration failurePenalty = std::chrono::milliseconds(1500); // Penalty of a replica that fails every request.
};

// The outcome of an attempt, reduced to what it shows about the health of the replica.
enum class AttemptOutcome {
    Served,
    // The response was cut short or invalid, or the replica failed while its peers serve.
    Failed,
    // The connection failed, or the replica doesn't respond.
    Unreachable,
};

// Tracks the health of replicas by the outcomes of the requests sent to them. Replicas that can't be reached are
// blocked. Blocks are short and expire by themselves, so that a recovered replica is tried again.
class ReplicaHealth
{
public:
    explicit ReplicaHealth(ReplicaHealthOptions options = {});

    // Returns true if the outcome starts a block of the replica.
    bool recordOutcome(const Core::TargetId &replica, const Core::ZoneId &zone, AttemptOutcome outcome,
                       Core::TimePoint now);
    // True while requests should go to another replica if there is one that can serve them.
    [[nodiscard]] bool isBlocked(const Core::TargetId &replica, const Core::ZoneId &zone, Core::TimePoint now) const;
    // The expected delay of a response due to the failures of the replica.
    [[nodiscard]] Core::Duration penalty(const Core::TargetId &replica, Core::TimePoint now) const;
    void forget(const Core::TargetId &replica);

private:
    struct Record {
        double served = 0;
        double failed = 0;
        Core::TimePoint countedAt {};
        Core::TimePoint blockedUntil {};
        Core::Duration nextBlock {};
    };

    [[nodiscard]] double decay(const Record &record, Core::TimePoint now) const;

    ReplicaHealthOptions m_options;
    std::map<Core::TargetId, Record> m_records;
    // When each replica was last found unreachable.
    std::map<Core::ZoneId, std::map<Core::TargetId, Core::TimePoint>> m_unreachable;
};

}
