#include <LibFleet/ReplicaSet.h>

namespace Fleet {

namespace {

// A live replica writes its entry again within about two seconds after the list recovers.
constexpr auto MissingEntryGracePeriod = std::chrono::milliseconds(2000);
// An entry that was removed around an outage may be listed again for some time.
constexpr auto LeavingRecordLifetime = std::chrono::minutes(10);

}

void ReplicaSet::apply(const ReplicaChanges &changes, bool isFull, Core::TimePoint now,
                       std::optional<Core::TimePoint> healthySince)
{
    std::set<Core::TargetId> present;
    for (const auto &replica : changes.present) {
        present.insert(replica.id);
        m_missing.erase(replica.id);
        auto &listed = m_replicas[replica.id];
        listed = replica;
        listed.isDraining = replica.isDraining || hasSaidItLeaves(replica);
    }
    for (const auto &id : changes.removed) {
        remove(id, now, healthySince);
    }
    if (!isFull) {
        return;
    }
    std::vector<Core::TargetId> unlisted;
    for (const auto &[id, replica] : m_replicas) {
        if (!present.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const auto &id : unlisted) {
        remove(id, now, healthySince);
    }
}

void ReplicaSet::remove(const Core::TargetId &id, Core::TimePoint now, std::optional<Core::TimePoint> healthySince)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    const bool isAroundOutage = !healthySince.has_value() || now - *healthySince < MissingEntryGracePeriod;
    if (isAroundOutage && !found->second.isDraining) {
        m_missing.insert(id);
        return;
    }
    m_missing.erase(id);
    m_replicas.erase(found);
}

void ReplicaSet::pruneMissing(Core::TimePoint now, std::optional<Core::TimePoint> healthySince)
{
    forgetLeft(now);
    if (!healthySince.has_value() || now - *healthySince < MissingEntryGracePeriod) {
        return;
    }
    for (const auto &id : m_missing) {
        m_replicas.erase(id);
    }
    m_missing.clear();
}

bool ReplicaSet::recordLeaving(const Replica &replica, Core::TimePoint now)
{
    if (!m_leaving.try_emplace({replica.id, replica.startedAt}, now).second) {
        return false;
    }
    if (const auto listed = m_replicas.find(replica.id);
        listed != m_replicas.end() && listed->second.startedAt == replica.startedAt) {
        listed->second.isDraining = true;
    }
    return true;
}

bool ReplicaSet::hasSaidItLeaves(const Replica &replica) const
{
    return m_leaving.contains({replica.id, replica.startedAt});
}

void ReplicaSet::forgetLeft(Core::TimePoint now)
{
    for (auto &[incarnation, knownAt] : m_leaving) {
        const auto *listed = find(incarnation.first);
        knownAt = listed != nullptr && listed->startedAt == incarnation.second ? now : knownAt;
    }
    std::erase_if(m_leaving, [now](const auto &record) {
        return now - record.second > LeavingRecordLifetime;
    });
}

const Replica *ReplicaSet::find(const Core::TargetId &id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second;
}

std::vector<const Replica *> ReplicaSet::available(const std::string &service) const
{
    std::vector<const Replica *> replicas;
    for (const auto &[id, replica] : m_replicas) {
        if (replica.service == service && !replica.isDraining) {
            replicas.push_back(&replica);
        }
    }
    return replicas;
}

const std::map<Core::TargetId, Replica> &ReplicaSet::all() const
{
    return m_replicas;
}

}
