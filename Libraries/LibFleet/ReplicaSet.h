#pragma once

#include <LibFleet/DeploymentSource.h>
#include <map>
#include <set>

namespace Fleet {

// The usable replicas according to the platform's list. An entry that expires around an outage of the list remains in
// use for a grace period after the list recovers, because a live replica writes its entry again in that time.
class ReplicaSet
{
public:
    // Applies the full list or changes of it. healthySince is when the list became readable; empty if it isn't
    // readable.
    void apply(const ReplicaChanges &changes, bool isFull, Core::TimePoint now,
               std::optional<Core::TimePoint> healthySince);
    // Removes the missing entries once the grace period after the list's recovery has passed, and forgets incarnations
    // that have left.
    void pruneMissing(Core::TimePoint now, std::optional<Core::TimePoint> healthySince);

    // Records that this incarnation of the replica has said itself that it leaves. It then counts as draining, whatever
    // the list says. Returns false if that was known.
    bool recordLeaving(const Replica &replica, Core::TimePoint now);
    [[nodiscard]] bool hasSaidItLeaves(const Replica &replica) const;

    // The replica, or null if it isn't listed.
    [[nodiscard]] const Replica *find(const Core::TargetId &id) const;
    // The listed replicas of a service that aren't draining, sorted by ID.
    [[nodiscard]] std::vector<const Replica *> available(const std::string &service) const;
    [[nodiscard]] const std::map<Core::TargetId, Replica> &all() const;

private:
    void remove(const Core::TargetId &id, Core::TimePoint now, std::optional<Core::TimePoint> healthySince);

    using Incarnation = std::pair<Core::TargetId, std::uint64_t>; // ID and start time.

    void forgetLeft(Core::TimePoint now);

    std::map<Core::TargetId, Replica> m_replicas;
    std::set<Core::TargetId> m_missing; // Entries that expired around an outage.
    // Incarnations that said that they leave, with the time when they did or were last listed.
    std::map<Incarnation, Core::TimePoint> m_leaving;
};

}
