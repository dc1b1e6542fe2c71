#include <LibOwner/Dispatcher.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Owner {

void Dispatcher::issueGrants(Core::TimePoint now)
{
    while (const auto *next = nextGrantable()) {
        const auto target = findReadyTarget(*next);
        VERIFY(target.has_value());
        auto request = m_waiting.extractForGrant(*next);
        auto &table = m_tables.at(*target);
        table.grant(request.adapter, request.grant, now);
        m_suspects.place(*target, request);
        m_loads.at(*target).recordGranted(static_cast<std::uint32_t>(table.grantCount()));
        m_actions.emplace_back(GrantAction {.request = std::move(request), .target = *target});
    }
}

// Returns the next request to grant among those with a ready target that has capacity, or null.
const WaitingRequest *Dispatcher::nextGrantable() const
{
    const WaitingRequest *best = nullptr;
    double bestServed = 0;
    for (const auto &[adapter, group] : m_waiting.groups()) {
        std::optional<bool> isReady; // Shared by all requests that are not constrained.
        for (const auto &request : group) {
            if (request.isConstrained() || !isReady.has_value()) {
                const bool isRequestReady = findReadyTarget(request).has_value();
                if (!request.isConstrained()) {
                    isReady = isRequestReady;
                }
                if (!isRequestReady) {
                    continue;
                }
            } else if (!*isReady) {
                continue;
            }
            const double served = m_options.policy->isFair ? m_waiting.served(request.customer) : 0;
            const bool isBetter = best == nullptr || served < bestServed
                || (served == bestServed && request.arrivedAt < best->arrivedAt);
            if (isBetter) {
                best = &request;
                bestServed = served;
            }
        }
    }
    return best;
}

std::optional<Core::TargetId> Dispatcher::findReadyTarget(const WaitingRequest &request) const
{
    std::optional<Core::TargetId> best;
    double bestCost = 0;
    std::size_t rank = 0;
    for (const auto &[target, table] : m_tables) {
        const auto *slot = table.find(request.adapter);
        ++rank;
        if (slot == nullptr || slot->state != SlotState::Ready || !canServe(target, request.baseModel)
            || isDraining(target, request.adapter) || !mayPlace(target, request.adapter) || !accepts(target, request)) {
            continue;
        }
        const auto granted = table.grantCount();
        const auto &load = m_loads.at(target);
        const double cost = m_options.policy->placementCost(
            {.target = target, .rank = rank, .utilization = load.utilization(granted), .freeSlots = 0});
        if (load.hasCapacity(granted) && (!best.has_value() || cost < bestCost)) {
            best = target;
            bestCost = cost;
        }
    }
    return best;
}

void Dispatcher::beginLoads(Core::TimePoint now)
{
    while (m_budget.hasPermit(now)) {
        const auto candidates = loadCandidates(now);
        m_backlog = candidates.size();
        if (candidates.empty()) {
            m_draining.clear();
            return;
        }
        const auto &first = candidates.front();
        const auto placement = choosePlacement(*oldestPlaceable(m_waiting.groups().at(first.adapter)), now);
        if (!placement.has_value()) {
            startDraining(first, now);
            return;
        }
        m_loadInterval.recordLoad(now, candidates.size() - 1);
        beginLoad(*placement, first.adapter, now);
    }
}

// Returns the adapters that could be loaded, the most urgent first.
std::vector<Policy::LoadCandidate> Dispatcher::loadCandidates(Core::TimePoint now) const
{
    std::vector<Policy::LoadCandidate> candidates;
    for (const auto &[adapter, group] : m_waiting.groups()) {
        if (auto candidate = loadCandidate(group, now); candidate.has_value()) {
            candidates.push_back(std::move(*candidate));
        }
    }
    const auto &policy = *m_options.policy;
    const auto isAged = [&policy](const Policy::LoadCandidate &load) {
        return policy.ageThreshold > Core::Duration::zero() && load.age >= policy.ageThreshold && !load.isReplica;
    };
    std::sort(candidates.begin(), candidates.end(), [&](const auto &left, const auto &right) {
        if (isAged(left) || isAged(right)) {
            return isAged(left) && (!isAged(right) || left.age > right.age);
        }
        return policy.loadUrgency(left) > policy.loadUrgency(right);
    });
    return candidates;
}

// Returns no value if the adapter needs no load: it is loading or unloading, or its resident copies can serve its
// queue.
std::optional<Policy::LoadCandidate> Dispatcher::loadCandidate(const std::vector<WaitingRequest> &group,
                                                               Core::TimePoint now) const
{
    const auto *placeable = oldestPlaceable(group);
    if (placeable == nullptr) {
        return std::nullopt;
    }
    const auto &oldest = *placeable;
    std::size_t copies = 0;
    for (const auto &[target, table] : m_tables) {
        if (!canServe(target, oldest.baseModel) || !mayPlace(target, oldest.adapter) || !accepts(target, oldest)) {
            continue;
        }
        const auto reserved = m_reservations.find(target);
        const bool isReserved = reserved != m_reservations.end()
            && std::any_of(reserved->second.begin(), reserved->second.end(), [&](const Reservation &reservation) {
                                    return reservation.successor == oldest.adapter;
                                });
        const auto *slot = table.find(oldest.adapter);
        if (isReserved || (slot != nullptr && slot->state != SlotState::Ready)) {
            return std::nullopt;
        }
        copies += slot == nullptr ? 0 : 1;
    }
    const auto threshold = m_options.policy->replicaQueueThreshold;
    if (copies > 0 && (threshold == 0 || group.size() < threshold || findReadyTarget(oldest).has_value())) {
        return std::nullopt;
    }
    return Policy::LoadCandidate {
        .adapter = oldest.adapter, .waiting = group.size(), .age = now - oldest.arrivedAt, .isReplica = copies > 0};
}

const WaitingRequest *Dispatcher::oldestPlaceable(const std::vector<WaitingRequest> &group) const
{
    const auto found = std::find_if(group.begin(), group.end(), [this](const WaitingRequest &request) {
        return !request.isConstrained() || std::any_of(m_tables.begin(), m_tables.end(), [&](const auto &entry) {
            return canServe(entry.first, request.baseModel) && accepts(entry.first, request);
        });
    });
    return found == group.end() ? nullptr : &*found;
}

bool Dispatcher::accepts(const Core::TargetId &target, const WaitingRequest &request) const
{
    const auto isAvoided = [&request](const Core::TargetId &candidate) {
        return std::find(request.avoid.begin(), request.avoid.end(), candidate) != request.avoid.end();
    };
    if (!m_suspects.allows(target, request)) {
        return false;
    }
    return !isAvoided(target) || std::none_of(m_tables.begin(), m_tables.end(), [&](const auto &entry) {
        return canServe(entry.first, request.baseModel) && !isAvoided(entry.first);
    });
}

std::optional<Dispatcher::Placement> Dispatcher::choosePlacement(const WaitingRequest &request,
                                                                 Core::TimePoint now) const
{
    if (auto freeSlot = chooseFreeSlot(request); freeSlot.has_value()) {
        return freeSlot;
    }
    return chooseEviction(request, now);
}

std::optional<Dispatcher::Placement> Dispatcher::chooseFreeSlot(const WaitingRequest &request) const
{
    const auto &adapter = request.adapter;
    std::optional<Placement> best;
    double bestCost = 0;
    std::size_t rank = 0;
    for (const auto &[target, table] : m_tables) {
        ++rank;
        if (!canServe(target, request.baseModel) || !table.hasFreeSlot() || table.find(adapter) != nullptr
            || !mayPlace(target, adapter) || !accepts(target, request)) {
            continue;
        }
        const double cost
            = m_options.policy->placementCost({.target = target,
                                               .rank = rank,
                                               .utilization = m_loads.at(target).utilization(table.grantCount()),
                                               .freeSlots = table.slotCount() - table.slots().size()});
        if (!best.has_value() || cost < bestCost) {
            best = Placement {.target = target, .victim = std::nullopt};
            bestCost = cost;
        }
    }
    return best;
}

std::optional<Dispatcher::Placement> Dispatcher::chooseEviction(const WaitingRequest &request,
                                                                Core::TimePoint now) const
{
    const auto &adapter = request.adapter;
    std::vector<std::pair<double, Placement>> victims;
    for (const auto &[target, table] : m_tables) {
        if (!canServe(target, request.baseModel) || table.find(adapter) != nullptr || !mayPlace(target, adapter)
            || !accepts(target, request)) {
            continue;
        }
        for (const auto &victim : table.evictable()) {
            const auto candidate = evictionCandidate(target, victim, *table.find(victim), now);
            victims.emplace_back(m_options.policy->victimValue(candidate, now),
                                 Placement {.target = target, .victim = victim});
        }
    }
    return lowestValueEvictable(std::move(victims));
}

std::optional<Dispatcher::Placement>
Dispatcher::lowestValueEvictable(std::vector<std::pair<double, Placement>> victims) const
{
    std::stable_sort(victims.begin(), victims.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    for (auto &[value, placement] : victims) {
        if (!m_guards.mayEvict || m_guards.mayEvict(placement.target, *placement.victim)) {
            return std::move(placement);
        }
    }
    return std::nullopt;
}

Policy::EvictionCandidate Dispatcher::evictionCandidate(const Core::TargetId &target,
                                                        const Core::AdapterVersion &adapter, const Slot &slot,
                                                        Core::TimePoint now) const
{
    return {.adapter = adapter,
            .target = target,
            .waiting = isDraining(target, adapter) ? 0 : m_waiting.waitingFor(adapter),
            .copies = countCopies(adapter),
            .rate = m_popularity.rate(adapter, now),
            .lastUsed = slot.lastUsed,
            .targetRank = rankOf(target),
            .targetUtilization = m_loads.at(target).utilization(m_tables.at(target).grantCount())};
}

// Called when no slot can be freed for the load. If the load has waited beyond the policy's age threshold, the slot
// with the lowest value accepts no further requests, so that it becomes free when its running requests have ended.
void Dispatcher::startDraining(const Policy::LoadCandidate &load, Core::TimePoint now)
{
    const auto threshold = m_options.policy->ageThreshold;
    if (threshold == Core::Duration::zero() || load.age < threshold || load.isReplica || !m_draining.empty()) {
        return;
    }
    const auto &request = *oldestPlaceable(m_waiting.groups().at(load.adapter));
    std::vector<std::pair<double, Placement>> victims;
    for (const auto &[target, table] : m_tables) {
        if (!canServe(target, request.baseModel) || !mayPlace(target, load.adapter) || !accepts(target, request)) {
            continue;
        }
        for (const auto &[adapter, slot] : table.slots()) {
            if (slot.state == SlotState::Ready) {
                const auto candidate = evictionCandidate(target, adapter, slot, now);
                victims.emplace_back(m_options.policy->victimValue(candidate, now),
                                     Placement {.target = target, .victim = adapter});
            }
        }
    }
    if (const auto drained = lowestValueEvictable(std::move(victims)); drained.has_value()) {
        m_draining[drained->target] = *drained->victim;
    }
}

void Dispatcher::beginLoad(const Placement &placement, const Core::AdapterVersion &adapter, Core::TimePoint now)
{
    auto &table = m_tables.at(placement.target);
    m_budget.beginLoad(now);
    ++m_loadCount;
    if (!placement.victim.has_value()) {
        table.beginLoad(adapter, now);
        m_actions.emplace_back(LoadAction {.target = placement.target, .adapter = adapter});
        return;
    }
    m_popularity.recordEviction(*placement.victim, adapter, now);
    table.beginUnload(*placement.victim);
    m_reservations[placement.target].push_back({.victim = *placement.victim, .successor = adapter});
    m_draining.erase(placement.target);
    m_actions.emplace_back(UnloadAction {.target = placement.target, .adapter = *placement.victim});
}

}
