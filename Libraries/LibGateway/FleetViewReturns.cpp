// The part of FleetView that keeps replicas that have returned to their limits.
#include <LibGateway/FleetView.h>

#include <algorithm>

namespace Gateway {

SharedLoad FleetView::sharedLoad(const Fleet::Replica &replica, Core::TimePoint now) const
{
    SharedLoad shared {.load
                       = {.slots = std::max(replica.slots, 1U), .usualTime = m_returns.usualTime(replica.service)},
                       .sharing = sharing(replica.id)};
    if (const auto view = m_views.find(replica.id); view != m_views.end()) {
        shared.load.own = view->second.active;
        if (isLoadKnown(view->second, now)) {
            shared.load.others = view->second.otherHostsActive;
            shared.load.othersSigns = view->second.othersSigns;
        }
    }
    return shared;
}

Placement::ReturnSigns FleetView::signsOfOthers(const Holding::ReturnSigns &all, const Holding::ReturnSigns &reported)
{
    return {.usual = all.usual - std::min(all.usual, reported.usual),
            .late = all.late - std::min(all.late, reported.late),
            .wanted = all.wanted - std::min(all.wanted, reported.wanted)};
}

void FleetView::updateReturnLoad(const Core::TargetId &replica, Core::TimePoint now)
{
    if (const auto *listed = m_replicas.find(replica); listed != nullptr && m_returns.isReturning(replica, now)) {
        m_returns.recordLoad(replica, sharedLoad(*listed, now), now);
    }
}

double FleetView::usedReturnLimit(const Fleet::Replica &replica, Core::TimePoint now) const
{
    return m_returns.isReturning(replica.id, now) ? m_returns.usedShare(replica.id, sharedLoad(replica, now), now) : 0;
}

bool FleetView::hasReturnRoom(const Fleet::Replica &replica, OwnDemand own, Core::TimePoint now) const
{
    if (!m_returns.isReturning(replica.id, now)) {
        return true;
    }
    auto shared = sharedLoad(replica, now);
    shared.load.unrecordedDemand = own == OwnDemand::Unrecorded ? 1 : 0;
    return m_returns.hasRoom(replica.id, shared, now);
}

FleetView::Decision FleetView::decideWithinLimits(const Placement::PlacementRequest &placement,
                                                  const UsableReplicas &usable, Core::TimePoint now) const
{
    const auto &[replicas, candidates] = usable;
    const auto best = m_chooser.choose(placement, candidates);
    if (!best.has_value() || !m_returns.isReturning(replicas[*best]->id, now)) {
        return {.chosen = best};
    }
    if (hasReturnRoom(*replicas[*best], OwnDemand::Unrecorded, now)) {
        return {.chosen = best, .returning = best};
    }
    std::vector<std::size_t> indices;
    std::vector<Placement::Candidate> alternatives;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &other = candidates[i];
        const bool canServe = !other.isBlocked && other.residency <= candidates[*best].residency
            && (other.slots == 0 || other.active < other.slots);
        if (i != *best && canServe && hasReturnRoom(*replicas[i], OwnDemand::Recorded, now)) {
            indices.push_back(i);
            alternatives.push_back(other);
        }
    }
    const auto alternative = m_chooser.choose(placement, alternatives);
    return {.chosen = alternative.has_value() ? indices[*alternative] : *best, .returning = best};
}

std::optional<std::size_t> FleetView::chooseWithinLimits(const Placement::PlacementRequest &placement,
                                                         const UsableReplicas &usable, Core::TimePoint now)
{
    const auto [chosen, returning] = decideWithinLimits(placement, usable, now);
    if (returning.has_value()) {
        m_returns.recordDemand(usable.replicas[*returning]->id, now);
        if (chosen != returning) {
            m_returns.recordDiversion();
        }
    }
    return chosen;
}

void FleetView::recordResponse(const Fleet::Replica &replica, const ReturnSample &sample, Core::TimePoint now)
{
    m_returns.recordResponse(replica, sample, sharedLoad(replica, now), now);
}

bool FleetView::recordOutcome(const Fleet::Replica &replica, Placement::AttemptOutcome outcome, Core::TimePoint sentAt,
                              Core::TimePoint now)
{
    const bool isAvoided = m_health.recordOutcome(replica.id, replica.zone, outcome, now);
    if (outcome != Placement::AttemptOutcome::Served) {
        m_returns.recordFailure(replica, sharedLoad(replica, now), sentAt, now);
    }
    if (isAvoided) {
        m_returns.recordAvoided(replica, now);
    }
    return isAvoided;
}

void FleetView::registerMetrics(Metrics::Registry &metrics) const
{
    m_returns.registerMetrics(metrics);
}

}
