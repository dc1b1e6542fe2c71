#include <LibOwner/Dispatcher.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Owner {

void Dispatcher::serveAll(Core::TimePoint now)
{
    while (const auto *next = nextToServe()) {
        const auto target = readyTarget(*next);
        VERIFY(target.has_value());
        auto request = m_waiting.serve(*next);
        auto &table = m_tables.at(*target);
        table.grant(request.adapter, request.grant, now);
        m_suspects.place(*target, request);
        m_loads.at(*target).noteGranted(static_cast<std::uint32_t>(table.grantCount()));
        m_actions.emplace_back(GrantAction {.request = std::move(request), .target = *target});
    }
}

// The request that is to run next among those whose adapter is ready somewhere with room, or null.
const WaitingRequest *Dispatcher::nextToServe() const
{
    const WaitingRequest *best = nullptr;
    double bestServed = 0;
    for (const auto &[adapter, group] : m_waiting.groups()) {
        std::optional<bool> isReady; // The same for every request that isn't constrained.
        for (const auto &request : group) {
            if (request.isConstrained() || !isReady.has_value()) {
                const bool isThisReady = readyTarget(request).has_value();
                if (!request.isConstrained()) {
                    isReady = isThisReady;
                }
                if (!isThisReady) {
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

std::optional<Core::TargetId> Dispatcher::readyTarget(const WaitingRequest &request) const
{
    std::optional<Core::TargetId> best;
    double bestCost = 0;
    std::size_t rank = 0;
    for (const auto &[target, table] : m_tables) {
        const auto *slot = table.find(request.adapter);
        ++rank;
        if (slot == nullptr || slot->state != SlotState::Ready || !canServe(target, request.baseModel)
            || isDraining(target, request.adapter) || !mayPlace(target, request.adapter) || !isOpen(target, request)) {
            continue;
        }
        const auto granted = table.grantCount();
        const auto &load = m_loads.at(target);
        const double cost = m_options.policy->placementCost(
            {.target = target, .rank = rank, .utilization = load.use(granted), .freeSlots = 0});
        if (load.hasRoom(granted) && (!best.has_value() || cost < bestCost)) {
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
        const auto choice = place(*oldestOpen(m_waiting.groups().at(first.adapter)), now);
        if (!choice.has_value()) {
            drainFor(first, now);
            return;
        }
        m_pace.noteLoad(now, candidates.size() - 1);
        beginLoad(*choice, first.adapter, now);
    }
}

// Adapters that could be loaded, the most urgent first.
std::vector<Policy::LoadCandidate> Dispatcher::loadCandidates(Core::TimePoint now) const
{
    std::vector<Policy::LoadCandidate> candidates;
    for (const auto &[adapter, group] : m_waiting.groups()) {
        if (auto view = viewLoad(group, now); view.has_value()) {
            candidates.push_back(std::move(*view));
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

// Without a value the adapter needs no load: it is on its way, or resident where it can be served in turn.
std::optional<Policy::LoadCandidate> Dispatcher::viewLoad(const std::vector<WaitingRequest> &group,
                                                          Core::TimePoint now) const
{
    const auto *open = oldestOpen(group);
    if (open == nullptr) {
        return std::nullopt;
    }
    const auto &oldest = *open;
    std::size_t copies = 0;
    for (const auto &[target, table] : m_tables) {
        if (!canServe(target, oldest.baseModel) || !mayPlace(target, oldest.adapter) || !isOpen(target, oldest)) {
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
    const auto most = m_options.policy->replicaQueueThreshold;
    if (copies > 0 && (most == 0 || group.size() < most || readyTarget(oldest).has_value())) {
        return std::nullopt;
    }
    return Policy::LoadCandidate {
        .adapter = oldest.adapter, .waiting = group.size(), .age = now - oldest.arrivedAt, .isReplica = copies > 0};
}

const WaitingRequest *Dispatcher::oldestOpen(const std::vector<WaitingRequest> &group) const
{
    const auto found = std::find_if(group.begin(), group.end(), [this](const WaitingRequest &request) {
        return !request.isConstrained() || std::any_of(m_tables.begin(), m_tables.end(), [&](const auto &entry) {
            return canServe(entry.first, request.baseModel) && isOpen(entry.first, request);
        });
    });
    return found == group.end() ? nullptr : &*found;
}

bool Dispatcher::isOpen(const Core::TargetId &target, const WaitingRequest &request) const
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

std::optional<Dispatcher::Choice> Dispatcher::place(const WaitingRequest &request, Core::TimePoint now) const
{
    if (auto free = placeFree(request); free.has_value()) {
        return free;
    }
    return placeByEviction(request, now);
}

std::optional<Dispatcher::Choice> Dispatcher::placeFree(const WaitingRequest &request) const
{
    const auto &adapter = request.adapter;
    std::optional<Choice> best;
    double bestCost = 0;
    std::size_t rank = 0;
    for (const auto &[target, table] : m_tables) {
        ++rank;
        if (!canServe(target, request.baseModel) || !table.hasFreeSlot() || table.find(adapter) != nullptr
            || !mayPlace(target, adapter) || !isOpen(target, request)) {
            continue;
        }
        const double cost = m_options.policy->placementCost({.target = target,
                                                             .rank = rank,
                                                             .utilization = m_loads.at(target).use(table.grantCount()),
                                                             .freeSlots = table.slotCount() - table.slots().size()});
        if (!best.has_value() || cost < bestCost) {
            best = Choice {.target = target, .victim = std::nullopt};
            bestCost = cost;
        }
    }
    return best;
}

std::optional<Dispatcher::Choice> Dispatcher::placeByEviction(const WaitingRequest &request, Core::TimePoint now) const
{
    const auto &adapter = request.adapter;
    std::vector<std::pair<double, Choice>> victims;
    for (const auto &[target, table] : m_tables) {
        if (!canServe(target, request.baseModel) || table.find(adapter) != nullptr || !mayPlace(target, adapter)
            || !isOpen(target, request)) {
            continue;
        }
        for (const auto &victim : table.evictable()) {
            const auto view = viewVictim(target, victim, *table.find(victim), now);
            victims.emplace_back(m_options.policy->victimValue(view, now), Choice {.target = target, .victim = victim});
        }
    }
    return firstEvictable(std::move(victims));
}

std::optional<Dispatcher::Choice> Dispatcher::firstEvictable(std::vector<std::pair<double, Choice>> victims) const
{
    std::stable_sort(victims.begin(), victims.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    for (auto &[value, choice] : victims) {
        if (!m_guards.mayEvict || m_guards.mayEvict(choice.target, *choice.victim)) {
            return std::move(choice);
        }
    }
    return std::nullopt;
}

Policy::EvictionCandidate Dispatcher::viewVictim(const Core::TargetId &target, const Core::AdapterVersion &adapter,
                                                 const Slot &slot, Core::TimePoint now) const
{
    return {.adapter = adapter,
            .target = target,
            .waiting = isDraining(target, adapter) ? 0 : m_waiting.waitingFor(adapter),
            .copies = copiesOf(adapter),
            .rate = m_popularity.rate(adapter, now),
            .lastUsed = slot.lastUsed,
            .targetRank = rankOf(target),
            .targetUtilization = m_loads.at(target).use(m_tables.at(target).grantCount())};
}

// Every slot is in use. For a load past its age bound the slot worth least takes no further requests, so that it
// becomes free when those that run there have ended.
void Dispatcher::drainFor(const Policy::LoadCandidate &load, Core::TimePoint now)
{
    const auto bound = m_options.policy->ageThreshold;
    if (bound == Core::Duration::zero() || load.age < bound || load.isReplica || !m_draining.empty()) {
        return;
    }
    const auto &request = *oldestOpen(m_waiting.groups().at(load.adapter));
    std::vector<std::pair<double, Choice>> victims;
    for (const auto &[target, table] : m_tables) {
        if (!canServe(target, request.baseModel) || !mayPlace(target, load.adapter) || !isOpen(target, request)) {
            continue;
        }
        for (const auto &[adapter, slot] : table.slots()) {
            if (slot.state == SlotState::Ready) {
                const auto view = viewVictim(target, adapter, slot, now);
                victims.emplace_back(m_options.policy->victimValue(view, now),
                                     Choice {.target = target, .victim = adapter});
            }
        }
    }
    if (const auto drained = firstEvictable(std::move(victims)); drained.has_value()) {
        m_draining[drained->target] = *drained->victim;
    }
}

void Dispatcher::beginLoad(const Choice &choice, const Core::AdapterVersion &adapter, Core::TimePoint now)
{
    auto &table = m_tables.at(choice.target);
    m_budget.beginLoad(now);
    ++m_loadCount;
    if (!choice.victim.has_value()) {
        table.beginLoad(adapter, now);
        m_actions.emplace_back(LoadAction {.target = choice.target, .adapter = adapter});
        return;
    }
    m_popularity.recordEviction(*choice.victim, adapter, now);
    table.beginUnload(*choice.victim);
    m_reservations[choice.target].push_back({.victim = *choice.victim, .successor = adapter});
    m_draining.erase(choice.target);
    m_actions.emplace_back(UnloadAction {.target = choice.target, .adapter = *choice.victim});
}

}
