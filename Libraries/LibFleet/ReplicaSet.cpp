#include <LibFleet/ReplicaSet.h>

namespace Fleet {

namespace {

// A live replica writes its entry again within about two seconds after the list recovers.
constexpr auto MissingEntryGracePeriod = std::chrono::milliseconds(2000);

}

void ReplicaSet::apply(const ReplicaChanges &changes, bool isFull, Core::TimePoint now,
                       std::optional<Core::TimePoint> healthySince)
{
    std::set<Core::TargetId> present;
    for (const auto &replica : changes.present) {
        present.insert(replica.id);
        m_missing.erase(replica.id);
        m_replicas[replica.id] = replica;
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
    if (!healthySince.has_value() || now - *healthySince < MissingEntryGracePeriod) {
        return;
    }
    for (const auto &id : m_missing) {
        m_replicas.erase(id);
    }
    m_missing.clear();
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
