#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <map>

namespace Placement {

struct ReplicaHealthOptions {
    Core::Duration failureHalfLife = std::chrono::milliseconds(2500); // Of the counted outcomes.
    Core::Duration firstBlock = std::chrono::milliseconds(400); // After a first failed connection; doubles.
    Core::Duration longestBlock = std::chrono::milliseconds(2000);
    Core::Duration zoneBlock = std::chrono::milliseconds(1500); // After two replicas of a zone can't be reached.
    Core::Duration failurePenalty = std::chrono::milliseconds(1500); // Of a replica that fails every request.
};

// How an attempt at a replica ended, as far as it shows the replica's own state.
enum class AttemptOutcome {
    Served,
    // It broke off, answered something else, or failed while its peers serve.
    Failed,
    // It could not be reached, or hangs.
    Unreachable,
};

// What requests have shown of the replicas' health. Blocks are short and end by themselves, so that a replica that has
// mended is tried again.
class ReplicaHealth
{
public:
    explicit ReplicaHealth(ReplicaHealthOptions options = {});

    // Counts an outcome. Returns true when it begins a block of the replica.
    bool recordOutcome(const Core::TargetId &replica, const Core::ZoneId &zone, AttemptOutcome outcome,
                       Core::TimePoint now);
    // True while nothing should be sent to the replica if another one can serve.
    [[nodiscard]] bool isBlocked(const Core::TargetId &replica, const Core::ZoneId &zone, Core::TimePoint now) const;
    // How much later an answer is to be expected because the replica fails requests.
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
    std::map<Core::ZoneId, std::map<Core::TargetId, Core::TimePoint>> m_unreachable; // When each was last so.
};

}
