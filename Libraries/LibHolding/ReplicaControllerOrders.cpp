// The orders of a replica's controller: which one comes next, and what its answer means.
#include <LibHolding/ReplicaController.h>

#include <LibFleet/AdapterName.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <utility>

namespace Holding {

namespace {

// After a refused order the replica's own count of orders is read again, when its report has caught up.
constexpr auto ConflictDelay = std::chrono::milliseconds(300);
// Between two orders while an earlier one waits for runs: short against a run, long against an order's answer.
constexpr auto WaitingRetryDelay = std::chrono::milliseconds(60);

}

bool ReplicaController::confirmLoad()
{
    const auto now = m_scheduler.now();
    for (auto &[name, slot] : m_slots) {
        if (slot.state == SlotState::Loading && !slot.uncertainAt.has_value() && now >= slot.readyAt) {
            const auto slash = name.find('/');
            slot.isConfirming = true;
            sendOrder({.verb = Fleet::OrderVerb::Load,
                       .model = name.substr(0, slash),
                       .adapter = name.substr(slash + 1),
                       .version = slot.version},
                      name);
            return true;
        }
    }
    return false;
}

void ReplicaController::pump()
{
    serveWaiters();
    const auto now = m_scheduler.now();
    if (!m_isOrdering && m_orderCount.has_value() && now >= m_noOrderBefore && m_fence(m_replica.id).has_value()) {
        const bool isOrdered = confirmLoad() || loadMissingModel() || replaceOutdated();
        for (const auto &waiter : m_waiters) {
            if (isOrdered || m_isOrdering) {
                break;
            }
            const auto &wanted = waiter.request;
            const auto name = Fleet::adapterName(wanted.model, wanted.adapter);
            if (m_slots.contains(name) || !m_models.contains(wanted.model) || inTransit() >= m_options.mostInTransit) {
                continue;
            }
            if (m_slots.size() < capacity()) {
                orderLoad(wanted.model, wanted.adapter, std::max(wanted.version, m_releases.newestVersion(name)));
            } else if (const auto name = victim(); name.has_value()) {
                orderUnload(*name);
            }
        }
    }
    wakeForNextLoad();
}

void ReplicaController::wakeForNextLoad()
{
    m_scheduler.cancel(m_timer);
    m_timer = Core::TimerId::None;
    const auto now = m_scheduler.now();
    std::optional<Core::TimePoint> wakeAt;
    for (const auto &[name, slot] : m_slots) {
        // What is due already waits for the order under way, or for the next tick.
        if (slot.state == SlotState::Loading && slot.readyAt > now) {
            wakeAt = std::min(wakeAt.value_or(slot.readyAt), slot.readyAt);
        }
    }
    if (wakeAt.has_value()) {
        m_timer = m_scheduler.runAfter(*wakeAt - now, [this] {
            m_timer = Core::TimerId::None;
            pump();
        });
    }
}

bool ReplicaController::loadMissingModel()
{
    if (!m_models.empty() || m_isModelLoading || m_engine.models.empty()) {
        return false;
    }
    // FIXME: With several models, load the one that is asked for most and has the fewest replicas.
    m_isModelLoading = true;
    orderLoad(m_engine.models.front().name, {}, 0);
    return true;
}

bool ReplicaController::replaceOutdated()
{
    for (const auto &[name, newest] : m_releases.all()) {
        const auto slot = m_slots.find(name);
        // A replacement waits for the adapter's runs, and no other order is accepted meanwhile.
        if (slot != m_slots.end() && slot->second.version < newest && isIdle(*slot)
            && inTransit() < m_options.mostInTransit) {
            const auto slash = name.find('/');
            orderLoad(name.substr(0, slash), name.substr(slash + 1), newest);
            return true;
        }
    }
    return false;
}

void ReplicaController::orderLoad(const std::string &model, const std::string &adapter, std::uint64_t version)
{
    const auto now = m_scheduler.now();
    const auto name = Fleet::adapterName(model, adapter);
    if (!adapter.empty()) {
        const auto loadTime = expectedLoadTime(name, version);
        auto &slot = m_slots[name];
        const bool isReplacement = slot.changedAt != Core::TimePoint {};
        slot.state = isReplacement ? SlotState::Replacing : SlotState::Loading;
        slot.changedAt = now;
        slot.lastUsed = now;
        slot.readyAt = now + loadTime;
        slot.orderedAt = now;
        slot.loadTime = loadTime;
        if (!isReplacement) {
            slot.version = std::max<std::uint64_t>(version, 1);
        }
    }
    sendOrder({.verb = Fleet::OrderVerb::Load, .model = model, .adapter = adapter, .version = version}, name);
}

void ReplicaController::orderUnload(const std::string &name)
{
    const auto slash = name.find('/');
    auto &slot = m_slots.at(name);
    slot.state = SlotState::Unloading;
    slot.changedAt = m_scheduler.now();
    sendOrder({.verb = Fleet::OrderVerb::Unload, .model = name.substr(0, slash), .adapter = name.substr(slash + 1)},
              name);
}

void ReplicaController::sendOrder(Fleet::ReplicaOrder order, const std::string &name)
{
    m_isOrdering = true;
    order.expectedOrderCount = *m_orderCount;
    order.holder = m_options.self;
    order.fence = *m_fence(m_replica.id);
    order.responseTimeout = m_options.orderTimeout * (1U << std::min(m_unanswered, m_options.mostRepeats));
    m_link.order(m_replica, order,
                 [this, isAlive = m_isAlive, order, name](Fleet::OrderOutcome outcome, const std::string &detail) {
                     if (*isAlive) {
                         m_isOrdering = false;
                         takeOutcome(order, name, outcome, detail);
                         pump();
                     }
                 });
}

void ReplicaController::takeOutcome(const Fleet::ReplicaOrder &order, const std::string &name,
                                    Fleet::OrderOutcome outcome, const std::string &detail)
{
    const auto now = m_scheduler.now();
    const bool isUnload = order.verb == Fleet::OrderVerb::Unload;
    Log::write(Log::Event::OrderSent,
               {{"replica", m_replica.id.value},
                {"order", (isUnload ? "unload " : "load ") + Fleet::versionedName(name, order.version)},
                {"expected", std::to_string(order.expectedOrderCount)},
                {"fence", std::to_string(order.fence)},
                {"answer", detail}});
    // An order for an adapter that is on its way already isn't counted; the answer says whether it has arrived.
    const auto repeated = m_slots.find(name);
    const bool isRepeat = repeated != m_slots.end() && std::exchange(repeated->second.isConfirming, false);
    const bool isSecondCopy = std::exchange(m_isSecondCopy, false);
    const auto unanswered = std::exchange(m_unanswered, 0);
    m_isUnreachable = outcome == Fleet::OrderOutcome::NotSent
        || (outcome == Fleet::OrderOutcome::Unknown && unanswered >= m_options.mostRepeats);
    const bool isAnswered = outcome == Fleet::OrderOutcome::Accepted || outcome == Fleet::OrderOutcome::Completed;
    if (isSecondCopy && !isAnswered) {
        if (outcome == Fleet::OrderOutcome::Conflict && !isWaitingForRuns() && isOnlyUncertain(name)) {
            takeAsCarriedOut(order, name);
            return;
        }
        // The first copy may still be carried out.
        outcome = Fleet::OrderOutcome::Unknown;
    }
    if (outcome == Fleet::OrderOutcome::Unknown) {
        m_unanswered = unanswered + 1;
        Log::write(Log::Event::OrderUnanswered, {{"replica", m_replica.id.value}, {"order", name}, {"reason", detail}});
        if (isRepeat && m_unanswered <= m_options.mostRepeats) {
            repeated->second.readyAt = now + m_options.confirmPeriod;
            return;
        }
        if (!isRepeat && repeatUnanswered(order, name)) {
            return;
        }
    }
    // Either this order or its first copy was carried out, so the count has risen by one.
    const bool isAccepted
        = !isRepeat && isAnswered && (outcome == Fleet::OrderOutcome::Accepted || isUnload || isSecondCopy);
    if (isAccepted && isSecondCopy && repeated != m_slots.end()) {
        repeated->second.uncertainAt.reset();
    }
    if (isAccepted) {
        settleUncertain(order.expectedOrderCount);
    }
    if (!isRepeat && isAnswered) {
        endWaitForRuns();
    }
    if (outcome == Fleet::OrderOutcome::Conflict && isWaitingForRuns()) {
        m_isModelLoading = m_isModelLoading && !order.adapter.empty();
        takeRefusalWhileWaiting(name, isRepeat);
        return;
    }
    if (isAnswered) {
        takeAnswer(order, name, outcome, isRepeat, isAccepted);
    } else {
        takeFailure(order, name, outcome, isRepeat);
    }
}

void ReplicaController::takeAnswer(const Fleet::ReplicaOrder &order, const std::string &name,
                                   Fleet::OrderOutcome outcome, bool isRepeat, bool isCounted)
{
    const auto now = m_scheduler.now();
    const bool isUnload = order.verb == Fleet::OrderVerb::Unload;
    const bool isDone = outcome == Fleet::OrderOutcome::Completed;
    const auto slot = m_slots.find(name);
    if (isRepeat && !isDone) {
        slot->second.readyAt = now + m_options.confirmPeriod;
        return;
    }
    m_orderCount = order.expectedOrderCount + (isCounted ? 1 : 0);
    m_countAsOf = now;
    if (slot == m_slots.end()) {
        return;
    }
    slot->second.changedAt = now;
    if (!isDone && (isUnload || slot->second.state == SlotState::Replacing)) {
        m_waitsForRunsSince = now;
    }
    if (isUnload) {
        if (isDone) {
            m_slots.erase(slot);
        }
        return;
    }
    m_atHand.insert(Fleet::versionedName(name, order.version));
    if (isDone) {
        slot->second.state = SlotState::Resident;
        slot->second.isAssumedReady = false;
        slot->second.version = std::max(slot->second.version, order.version);
        slot->second.lastUsed = now;
    }
}

void ReplicaController::takeFailure(const Fleet::ReplicaOrder &order, const std::string &name,
                                    Fleet::OrderOutcome outcome, bool isRepeat)
{
    const auto now = m_scheduler.now();
    const bool isUnknown = outcome == Fleet::OrderOutcome::Unknown;
    if (const auto slot = m_slots.find(name); slot != m_slots.end()) {
        slot->second.changedAt = now;
        slot->second.readyAt = now + m_options.confirmPeriod;
        if (!isRepeat && isUnknown) {
            slot->second.uncertainAt = order.expectedOrderCount;
        } else if (!isRepeat) {
            takeBack(slot);
        }
    }
    if (order.adapter.empty()) {
        m_isModelLoading = isUnknown;
    }
    // Nothing more is ordered until the replica's report shows how many orders it has accepted.
    m_orderCount.reset();
    m_noOrderBefore = now + ConflictDelay;
    m_nextReport = now + ConflictDelay;
}

void ReplicaController::takeBack(std::map<std::string, Slot>::iterator slot)
{
    if (slot->second.state == SlotState::Loading) {
        m_slots.erase(slot);
    } else {
        slot->second.state = SlotState::Resident;
    }
}

bool ReplicaController::repeatUnanswered(const Fleet::ReplicaOrder &order, const std::string &name)
{
    const auto slot = m_slots.find(name);
    if (m_unanswered > m_options.mostRepeats || slot == m_slots.end() || order.adapter.empty()
        || m_orderCount != order.expectedOrderCount || !m_fence(m_replica.id).has_value()) {
        return false;
    }
    slot->second.uncertainAt = order.expectedOrderCount;
    slot->second.changedAt = m_scheduler.now();
    sendOrder(order, name);
    m_isSecondCopy = true;
    return true;
}

bool ReplicaController::isOnlyUncertain(const std::string &name) const
{
    return std::none_of(m_slots.begin(), m_slots.end(), [&name](const auto &slot) {
        return slot.first != name && slot.second.uncertainAt.has_value();
    });
}

void ReplicaController::takeAsCarriedOut(const Fleet::ReplicaOrder &order, const std::string &name)
{
    const auto now = m_scheduler.now();
    m_orderCount = order.expectedOrderCount + 1;
    m_countAsOf = now;
    if (const auto slot = m_slots.find(name); slot != m_slots.end()) {
        slot->second.uncertainAt.reset();
        slot->second.changedAt = now;
        if (order.verb == Fleet::OrderVerb::Unload || slot->second.state == SlotState::Replacing) {
            // Done or waiting for runs; the answer to the next order tells.
            m_waitsForRunsSince = now;
        }
    }
    settleUncertain(order.expectedOrderCount);
}

bool ReplicaController::isWaitingForRuns() const
{
    return m_waitsForRunsSince.has_value() && m_scheduler.now() - *m_waitsForRunsSince < m_options.longestRun;
}

bool ReplicaController::isRefusingOrders() const
{
    const auto now = m_scheduler.now();
    return isWaitingForRuns() && now - *m_waitsForRunsSince >= m_options.mostWaitForRuns
        && now - m_refusedAt < m_options.refusalLifetime;
}

void ReplicaController::endWaitForRuns()
{
    if (m_waitsForRunsSince.has_value()) {
        m_waitsForRunsSince.reset();
        std::erase_if(m_slots, [](const auto &slot) {
            return slot.second.state == SlotState::Unloading && !slot.second.uncertainAt.has_value();
        });
    }
}

void ReplicaController::takeRefusalWhileWaiting(const std::string &name, bool isRepeat)
{
    const auto now = m_scheduler.now();
    m_refusedAt = now;
    m_noOrderBefore = now + WaitingRetryDelay;
    const auto slot = m_slots.find(name);
    if (slot == m_slots.end()) {
        return;
    }
    if (!isRepeat) {
        takeBack(slot);
        return;
    }
    slot->second.readyAt = now + WaitingRetryDelay;
    if (now - slot->second.orderedAt >= slot->second.loadTime * 3 / 2) {
        // Should it not be, the request is rejected and hasn't run. It isn't unloaded before it is known to be there:
        // an adapter on its way can't be, and would take its place when it arrives.
        slot->second.isAssumedReady = true;
    }
}

void ReplicaController::settleUncertain(std::uint64_t acceptedAt)
{
    // The replica accepted this order at the same count as an earlier one that had no answer, which therefore hasn't
    // been carried out and won't be.
    const auto isVoid = [acceptedAt](const Slot &slot) {
        return slot.uncertainAt.has_value() && *slot.uncertainAt <= acceptedAt;
    };
    std::erase_if(m_slots, [&isVoid](const auto &slot) {
        return isVoid(slot.second) && slot.second.state == SlotState::Loading;
    });
    for (auto &[name, slot] : m_slots) {
        if (isVoid(slot)) {
            slot.uncertainAt.reset();
            slot.state = SlotState::Resident;
        }
    }
}

}
