#pragma once

#include <LibFleet/DeploymentSource.h>
#include <map>
#include <set>

namespace Fleet {

// The replicas that can be used, as the platform's list last showed them. An entry that lapses around an outage of the
// list stays in use until the list has been back for a while, since a live replica's entry returns by itself.
class ReplicaSet
{
public:
    // Takes changes of the list. healthySince is when the list became readable, without a value if it isn't.
    void apply(const ReplicaChanges &changes, bool isWhole, Core::TimePoint now,
               std::optional<Core::TimePoint> healthySince);
    // Forgets entries that were missing for long enough after the list's return.
    void settle(Core::TimePoint now, std::optional<Core::TimePoint> healthySince);

    // The replica, or null when it isn't listed.
    [[nodiscard]] const Replica *find(const Core::TargetId &id) const;
    // The listed replicas of a service that aren't draining, in order of their id.
    [[nodiscard]] std::vector<const Replica *> available(const std::string &service) const;
    [[nodiscard]] const std::map<Core::TargetId, Replica> &all() const;

private:
    void remove(const Core::TargetId &id, Core::TimePoint now, std::optional<Core::TimePoint> healthySince);

    std::map<Core::TargetId, Replica> m_replicas;
    std::set<Core::TargetId> m_missing; // Entries that lapsed around an outage.
};

}
