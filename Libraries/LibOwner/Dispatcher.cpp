#include <LibOwner/Dispatcher.h>

#include <algorithm>
#include <iterator>

namespace Owner {

namespace {

constexpr Core::Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Core::Duration MaxRetryAfter = std::chrono::seconds(60);

}

Dispatcher::Dispatcher(const DispatcherOptions &options, Core::TimePoint now)
    : m_options(options)
    , m_budget(options.budget, now)
{
}

void Dispatcher::setGuards(DispatcherGuards guards)
{
    m_guards = std::move(guards);
}

void Dispatcher::resetTarget(const Core::TargetId &target, const std::string &incarnation, std::uint32_t slotCount,
                             const std::vector<Core::AdapterVersion> &resident, Core::TimePoint now)
{
    removeTarget(target);
    auto &table = m_tables[target];
    table.reset(incarnation, slotCount);
    for (const auto &adapter : resident) {
        table.beginLoad(adapter, now);
        table.finishLoad(adapter);
    }
}

void Dispatcher::setServing(const Core::TargetId &target, const std::string &baseModel, bool isServing)
{
    auto &load = m_loads[target];
    load.baseModel = baseModel;
    load.isServing = isServing;
}

void Dispatcher::report(const Core::TargetId &target, std::uint32_t batchCapacity, std::uint32_t running)
{
    const auto granted = static_cast<std::uint32_t>(m_tables[target].grantCount());
    m_loads[target].report(batchCapacity, running, granted);
}

void Dispatcher::removeUnreported(const Core::TargetId &target, std::span<const Core::AdapterVersion> reported,
                                  Core::TimePoint requestedAt)
{
    auto &table = m_tables.at(target);
    for (const auto &adapter : table.evictable()) {
        const bool isReported = std::find(reported.begin(), reported.end(), adapter) != reported.end();
        if (!isReported && table.find(adapter)->lastUsed < requestedAt) {
            table.remove(adapter);
        }
    }
}

void Dispatcher::addReported(const Core::TargetId &target, std::span<const Core::AdapterVersion> reported,
                             Core::TimePoint requestedAt, Core::TimePoint now)
{
    if (const auto unload = m_lastUnloads.find(target); unload != m_lastUnloads.end() && unload->second > requestedAt) {
        return;
    }
    auto &table = m_tables.at(target);
    for (const auto &adapter : reported) {
        if (table.find(adapter) == nullptr) {
            table.addReported(adapter, now);
        }
    }
}

void Dispatcher::removeTarget(const Core::TargetId &target)
{
    m_lastUnloads.erase(target);
    if (const auto found = m_tables.find(target); found != m_tables.end()) {
        // The results of loads ordered under the previous incarnation or ownership will be ignored.
        for (const auto &[adapter, slot] : found->second.slots()) {
            if (slot.state == SlotState::Loading) {
                m_budget.endLoad();
            }
        }
        for (std::size_t i = 0; i < m_reservations[target].size(); ++i) {
            m_budget.endLoad();
        }
        m_tables.erase(found);
    }
    m_reservations.erase(target);
    m_draining.erase(target);
}

bool Dispatcher::isServed(const std::string &baseModel) const
{
    return std::any_of(m_tables.begin(), m_tables.end(), [&](const auto &entry) {
        return canServe(entry.first, baseModel);
    });
}

void Dispatcher::request(WaitingRequest request, Core::TimePoint now)
{
    m_popularity.count(request.adapter, now);
    if (m_waiting.size() >= m_options.maxWaiting) {
        refuse(std::move(request), GrantOutcome::Overloaded, "too many requests are waiting for an adapter slot");
        return;
    }
    const bool isNew = m_waiting.waitingFor(request.adapter) == 0 && countCopies(request.adapter) == 0;
    if (m_options.policy->shedsEarly && isNew) {
        const auto wait = m_loadInterval.estimate(m_backlog + 1);
        if (now + wait > request.deadline) {
            refuse(std::move(request), GrantOutcome::Overloaded,
                   "the adapter cannot be loaded before the request's deadline");
            return;
        }
    }
    m_waiting.push(std::move(request));
}

void Dispatcher::release(const Core::GrantId &grant, Core::TimePoint now)
{
    m_suspects.release(grant);
    if (m_waiting.remove(grant)) {
        return;
    }
    for (auto &[target, table] : m_tables) {
        if (table.release(grant, now)) {
            return;
        }
    }
}

void Dispatcher::finishLoad(const Core::TargetId &target, const std::string &incarnation,
                            const Core::AdapterVersion &adapter, bool isLoaded)
{
    const auto found = m_tables.find(target);
    if (found == m_tables.end() || found->second.incarnation() != incarnation) {
        return;
    }
    // Ignore the result of a load that was ordered before this host lost the target and gained it again.
    if (const auto *slot = found->second.find(adapter); slot == nullptr || slot->state != SlotState::Loading) {
        return;
    }
    m_budget.endLoad();
    if (isLoaded) {
        m_failures.erase(adapter);
        found->second.finishLoad(adapter);
        return;
    }
    found->second.remove(adapter);
    recordLoadFailure(target, adapter);
}

void Dispatcher::recordLoadFailure(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    if (++m_failures[adapter] < m_options.maxLoadFailures) {
        return;
    }
    m_failures.erase(adapter);
    const auto reason = "loading adapter " + adapter.toString() + " failed on target " + target.value;
    for (auto &request : m_waiting.extractGroup(adapter)) {
        refuse(std::move(request), GrantOutcome::LoadFailed, reason);
    }
}

void Dispatcher::finishUnload(const Core::TargetId &target, const std::string &incarnation,
                              const Core::AdapterVersion &adapter, bool isUnloaded, Core::TimePoint now)
{
    const auto found = m_tables.find(target);
    if (found == m_tables.end() || found->second.incarnation() != incarnation) {
        return;
    }
    if (const auto *slot = found->second.find(adapter); slot == nullptr || slot->state != SlotState::Unloading) {
        return;
    }
    auto &reservations = m_reservations[target];
    const auto reservation = std::find_if(reservations.begin(), reservations.end(), [&](const Reservation &candidate) {
        return candidate.victim == adapter;
    });
    if (!isUnloaded) {
        found->second.cancelUnload(adapter);
        if (reservation != reservations.end()) {
            m_budget.endLoad();
            reservations.erase(reservation);
        }
        return;
    }
    found->second.remove(adapter);
    m_lastUnloads[target] = now;
    if (reservation == reservations.end()) {
        return;
    }
    // The target may have reported adapters meanwhile that take the slot, or the successor itself.
    if (found->second.hasFreeSlot() && found->second.find(reservation->successor) == nullptr) {
        found->second.beginLoad(reservation->successor, now);
        m_actions.emplace_back(LoadAction {.target = target, .adapter = reservation->successor});
    } else {
        m_budget.endLoad();
    }
    reservations.erase(reservation);
}

std::vector<DispatchAction> Dispatcher::step(Core::TimePoint now)
{
    refuseUnservable(now);
    issueGrants(now);
    beginLoads(now);
    return std::exchange(m_actions, {});
}

bool Dispatcher::hasLoadCandidate(Core::TimePoint now) const
{
    return std::any_of(m_waiting.groups().begin(), m_waiting.groups().end(), [&](const auto &entry) {
        return loadCandidate(entry.second, now).has_value();
    });
}

bool Dispatcher::wantsPermit(Core::TimePoint now) const
{
    return !m_budget.isUnlimited() && !m_budget.hasPermit(now) && hasLoadCandidate(now);
}

bool Dispatcher::lendPermit(Core::TimePoint now)
{
    return !hasLoadCandidate(now) && m_budget.lend(now);
}

void Dispatcher::receivePermit()
{
    m_budget.receive();
}

Core::Duration Dispatcher::untilPermit(Core::TimePoint now) const
{
    return m_budget.untilPermit(now);
}

const std::map<Core::TargetId, SlotTable> &Dispatcher::tables() const
{
    return m_tables;
}

const WaitingQueue &Dispatcher::waiting() const
{
    return m_waiting;
}

std::uint64_t Dispatcher::loadCount() const
{
    return m_loadCount;
}

bool Dispatcher::canServe(const Core::TargetId &target, const std::string &baseModel) const
{
    const auto found = m_loads.find(target);
    return found != m_loads.end() && found->second.isServing && found->second.baseModel == baseModel;
}

bool Dispatcher::mayPlace(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    return !m_guards.mayPlace || m_guards.mayPlace(target, adapter);
}

bool Dispatcher::isDraining(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    const auto found = m_draining.find(target);
    return found != m_draining.end() && found->second == adapter;
}

void Dispatcher::refuseUnservable(Core::TimePoint now)
{
    const auto isExpired = [now](const WaitingRequest &request) {
        return request.deadline <= now;
    };
    for (auto &request : m_waiting.extractMatching(isExpired)) {
        refuse(std::move(request), GrantOutcome::Overloaded,
               "no adapter slot became free before the request's deadline");
    }
    const auto isUnserved = [this](const WaitingRequest &request) {
        return !isServed(request.baseModel);
    };
    for (auto &request : m_waiting.extractMatching(isUnserved)) {
        refuse(std::move(request), GrantOutcome::NotOwner,
               "this host no longer owns a target that serves the base model");
    }
}

void Dispatcher::refuse(WaitingRequest request, GrantOutcome outcome, std::string reason)
{
    const auto wait = m_loadInterval.estimate(m_backlog + 1);
    m_actions.emplace_back(RefuseAction {.request = std::move(request),
                                         .outcome = outcome,
                                         .reason = std::move(reason),
                                         .retryAfter = std::clamp(wait, MinRetryAfter, MaxRetryAfter)});
}

std::size_t Dispatcher::countCopies(const Core::AdapterVersion &adapter) const
{
    return static_cast<std::size_t>(std::count_if(m_tables.begin(), m_tables.end(), [&](const auto &entry) {
        return entry.second.find(adapter) != nullptr;
    }));
}

std::size_t Dispatcher::rankOf(const Core::TargetId &target) const
{
    return static_cast<std::size_t>(std::distance(m_tables.begin(), m_tables.find(target)));
}

}
