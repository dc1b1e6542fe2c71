#include <LibPlacement/ReplicaHealth.h>

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

// Successful outcomes assumed before any is known, so that a single failure weighs little.
constexpr double AssumedServed = 2.0;
// This many unreachable replicas of one zone are taken as a sign that the whole zone is unreachable.
constexpr std::ptrdiff_t MinUnreachableForZoneBlock = 2;

}

ReplicaHealth::ReplicaHealth(ReplicaHealthOptions options)
    : m_options(options)
{
}

double ReplicaHealth::decay(const Record &record, Core::TimePoint now) const
{
    const std::chrono::duration<double> age = now - record.countedAt;
    const std::chrono::duration<double> halfLife = m_options.failureHalfLife;
    return std::exp2(-age.count() / halfLife.count());
}

bool ReplicaHealth::recordOutcome(const Core::TargetId &replica, const Core::ZoneId &zone, AttemptOutcome outcome,
                                  Core::TimePoint now)
{
    auto &record = m_records[replica];
    const auto factor = decay(record, now);
    record.served *= factor;
    record.failed *= factor;
    record.countedAt = now;
    if (outcome == AttemptOutcome::Served) {
        record.served += 1;
        record.blockedUntil = {};
        record.nextBlock = {};
        m_unreachable.erase(zone);
        return false;
    }
    record.failed += 1;
    if (outcome == AttemptOutcome::Unreachable && now >= record.blockedUntil) {
        record.nextBlock = std::clamp(record.nextBlock * 2, m_options.initialBlock, m_options.maxBlock);
        record.blockedUntil = now + record.nextBlock;
        m_unreachable[zone][replica] = now;
        return true;
    }
    return false;
}

bool ReplicaHealth::isBlocked(const Core::TargetId &replica, const Core::ZoneId &zone, Core::TimePoint now) const
{
    if (const auto record = m_records.find(replica); record != m_records.end() && now < record->second.blockedUntil) {
        return true;
    }
    const auto unreachable = m_unreachable.find(zone);
    return unreachable != m_unreachable.end()
        && std::count_if(unreachable->second.begin(), unreachable->second.end(),
                         [this, now](const auto &entry) {
                             return now - entry.second < m_options.zoneBlock;
                         })
        >= MinUnreachableForZoneBlock;
}

Core::Duration ReplicaHealth::penalty(const Core::TargetId &replica, Core::TimePoint now) const
{
    const auto found = m_records.find(replica);
    if (found == m_records.end()) {
        return {};
    }
    const auto factor = decay(found->second, now);
    const auto failed = found->second.failed * factor;
    const auto share = failed / (failed + found->second.served * factor + AssumedServed);
    return std::chrono::duration_cast<Core::Duration>(m_options.failurePenalty * share);
}

void ReplicaHealth::forget(const Core::TargetId &replica)
{
    m_records.erase(replica);
}

}
