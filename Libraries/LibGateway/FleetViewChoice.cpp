// The part of FleetView that chooses a replica for a request and explains the choice.
#include <LibGateway/FleetView.h>

namespace Gateway {

bool FleetView::hasModelFor(const Fleet::Replica &replica, const CallerRequest &request)
{
    return request.model.empty() || replica.find(request.model) != nullptr;
}

Exclusion FleetView::exclusionOf(const Fleet::Replica &replica, const CallerRequest &request, Core::TimePoint now) const
{
    if (replica.isDraining) {
        return Exclusion::Leaving;
    }
    if (!hasModelFor(replica, request)) {
        return Exclusion::ModelNotLoaded;
    }
    if (const auto exclusion = pauseOrLimitOf(replica, now); exclusion != Exclusion::None) {
        return exclusion;
    }
    return admits(replica, request, now) ? Exclusion::None : Exclusion::NotAdmitted;
}

FleetView::UsableReplicas FleetView::usableReplicas(const CallerRequest &request, const std::string &service,
                                                    const std::set<Core::TargetId> &excluded, Core::TimePoint now) const
{
    const auto adapter = adapterName(request);
    const auto newest = m_releases.newestVersion(adapter);
    const auto memoryTokens = m_memory ? m_memory(service) : 0;
    const auto usualResponse = m_speed.usualResponse(service);
    const auto eventTime = m_speed.usualEventTime(service);
    UsableReplicas usable;
    for (const auto *replica : m_replicas.available(service)) {
        if (!excluded.contains(replica->id) && exclusionOf(*replica, request, now) == Exclusion::None) {
            usable.replicas.push_back(replica);
            usable.candidates.push_back(candidate(*replica, adapter, newest, now));
            usable.candidates.back().memoryTokens = memoryTokens;
            usable.candidates.back().usualResponse = usualResponse;
            usable.candidates.back().eventTime
                = std::chrono::duration_cast<Core::Duration>(eventTime / usable.candidates.back().speed);
        }
    }
    return usable;
}

Placement::PlacementRequest FleetView::placementOf(const CallerRequest &request, const std::string &service,
                                                   std::string_view adapter, double demand) const
{
    const bool isUneven = m_pauseLimit && m_speed.isUneven(service);
    return {.key = adapter.empty() ? request.attemptId : adapter,
            .request = request.attemptId,
            .demand = demand,
            .isStream = !request.model.empty(),
            .promptTokens = request.promptTokens,
            .totalTokens = request.promptTokens + request.outputTokens,
            .pauseLimit = isUneven ? m_pauseLimit(service) : Core::Duration {}};
}

const Fleet::Replica *FleetView::choose(const CallerRequest &request, const std::string &service,
                                        const std::set<Core::TargetId> &excluded, Core::TimePoint now)
{
    const auto adapter = adapterName(request);
    const auto usable = usableReplicas(request, service, excluded, now);
    const auto demand = demandFor(adapter, OwnDemand::Recorded, now);
    const auto best = chooseWithinLimits(placementOf(request, service, adapter, demand), usable, now);
    return best.has_value() ? usable.replicas[*best] : nullptr;
}

ReplicaExplanation FleetView::explainReplica(const Fleet::Replica &replica, const CallerRequest &request,
                                             Core::TimePoint now) const
{
    const auto adapter = adapterName(request);
    ReplicaExplanation explanation {.exclusion = exclusionOf(replica, request, now),
                                    .state = candidate(replica, adapter, m_releases.newestVersion(adapter), now),
                                    .residentVersion = residentVersion(replica.id, adapter),
                                    .usedReturnLimit = usedReturnLimit(replica, now),
                                    .isReturning = m_returns.isReturning(replica.id, now),
                                    .hasReturnRoom = hasReturnRoom(replica, OwnDemand::Unrecorded, now),
                                    .isAdmitted = admits(replica, request, now)};
    explanation.state.memoryTokens = m_memory ? m_memory(replica.service) : 0;
    explanation.state.usualResponse = m_speed.usualResponse(replica.service);
    if (const auto end = m_pauses.endOf({replica.id, replica.startedAt}, now); end.has_value()) {
        explanation.pauseLeft = *end - now;
    }
    if (const auto view = m_views.find(replica.id); view != m_views.end()) {
        explanation.usedRequestLimit = view->second.limit.usedShare(now);
        explanation.admissionShare = request.model.empty() ? view->second.admission.share(now) : 1;
    }
    return explanation;
}

FleetExplanation FleetView::explain(const CallerRequest &request, const std::string &service, Core::TimePoint now) const
{
    FleetExplanation explanation {.adapter = adapterName(request)};
    explanation.newestVersion = m_releases.newestVersion(explanation.adapter);
    const auto usable = usableReplicas(request, service, {}, now);
    const auto demand = demandFor(explanation.adapter, OwnDemand::Unrecorded, now);
    const auto placement = placementOf(request, service, explanation.adapter, demand);
    const auto [chosen, returning] = decideWithinLimits(placement, usable, now);
    const auto costs = m_chooser.explain(placement, usable.candidates);
    std::size_t next = 0; // Of the usable replicas, which come in the same order.
    for (const auto &[id, replica] : m_replicas.all()) {
        if (replica.service != service) {
            continue;
        }
        auto entry = explainReplica(replica, request, now);
        if (next < usable.replicas.size() && usable.replicas[next] == &replica) {
            const auto index = explanation.replicas.size();
            if (chosen == next) {
                explanation.choice = index;
            } else if (returning == next) {
                explanation.passedOver = index;
            }
            entry.cost = costs[next];
            ++next;
        }
        explanation.replicas.push_back(std::move(entry));
    }
    return explanation;
}

}
