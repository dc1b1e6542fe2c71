// The part of ReplicaController that sends orders and handles their outcomes.
#include <LibHolding/ReplicaController.h>

#include <LibFleet/AdapterName.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <utility>

namespace Holding {

namespace {

// After a refused order the order count of the replica is read again. Its reports reflect the order only after this
// time.
constexpr auto ConflictDelay = std::chrono::milliseconds(300);
// Interval between orders while an earlier one waits for running requests: short compared to the duration of a request,
// long compared to the response time of an order.
constexpr auto WaitingRetryDelay = std::chrono::milliseconds(60);
// One acceptance may be of a load that an earlier holder has started, which the replica doesn't count again.
constexpr unsigned AcceptedOrdersToBeOnlySender = 2;

}

bool ReplicaController::confirmLoad()
{
    const auto now = m_scheduler.now();
    if (m_slots.size() > capacity()) {
        // Another holder has sent orders, so that a load that is repeated here could exceed the capacity. The next
        // reports show which of the adapters are gone.
        return false;
    }
    for (auto &[name, slot] : m_slots) {
        if (slot.state == SlotState::Loading && !slot.uncertainOrderCount.has_value() && now >= slot.readyAt) {
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

void ReplicaController::sendNextOrder()
{
    replyToWaiters();
    const auto now = m_scheduler.now();
    const bool mayOrder = !m_hasOrderInFlight && m_orderCount.has_value() && now >= m_nextOrderAt;
    if (const auto fence = mayOrder ? m_fence(m_replica.id) : std::nullopt; fence.has_value()) {
        m_orderFence = *fence;
        const bool isOrdered = confirmLoad() || loadMissingModel() || replaceOutdated();
        for (const auto &waiter : m_waiters) {
            if (isOrdered || m_hasOrderInFlight) {
                break;
            }
            const auto &request = waiter.request;
            const auto name = Fleet::adapterName(request.model, request.adapter);
            if (m_slots.contains(name) || !m_models.contains(request.model)
                || loadsInProgress() >= m_coldLoads.concurrentLoads(now)) {
                continue;
            }
            if (m_slots.size() < capacity()) {
                orderLoad(request.model, request.adapter, std::max(request.version, m_releases.newestVersion(name)));
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
        // Loads that are already due are confirmed after the order in flight, or at the next tick.
        if (slot.state == SlotState::Loading && slot.readyAt > now) {
            wakeAt = std::min(wakeAt.value_or(slot.readyAt), slot.readyAt);
        }
    }
    if (wakeAt.has_value()) {
        m_timer = m_scheduler.runAfter(*wakeAt - now, [this] {
            m_timer = Core::TimerId::None;
            sendNextOrder();
        });
    }
}

bool ReplicaController::loadMissingModel()
{
    if (!m_models.empty() || m_isModelLoading || m_engine.models.empty()) {
        return false;
    }
    // FIXME: With several models, load the one that has the most requests relative to its replicas.
    m_isModelLoading = true;
    orderLoad(m_engine.models.front().name, {}, 0);
    return true;
}

bool ReplicaController::replaceOutdated()
{
    for (const auto &[name, newestVersion] : m_releases.all()) {
        const auto slot = m_slots.find(name);
        // A replacement waits for the running requests of the adapter, and the replica refuses other orders until then.
        if (slot != m_slots.end() && slot->second.version < newestVersion && isIdle(*slot)
            && loadsInProgress() < m_coldLoads.concurrentLoads(m_scheduler.now())) {
            const auto slash = name.find('/');
            orderLoad(name.substr(0, slash), name.substr(slash + 1), newestVersion);
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
        slot.checks = 0;
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
    m_hasOrderInFlight = true;
    order.expectedOrderCount = *m_orderCount;
    order.holder = m_options.self;
    order.fence = m_orderFence;
    order.isPermitted = [this, isAlive = m_isAlive, fence = m_orderFence] {
        return *isAlive && m_fence(m_replica.id) == fence;
    };
    order.needsFreshConnection = m_unanswered > 0;
    order.responseTimeout = m_options.orderTimeout * (1U << std::min(m_unanswered, m_options.maxRetries));
    m_link.order(m_replica, order,
                 [this, isAlive = m_isAlive, order, name](Fleet::OrderOutcome outcome, const std::string &detail) {
                     if (*isAlive) {
                         m_hasOrderInFlight = false;
                         handleOutcome(order, name, outcome, detail);
                         sendNextOrder();
                     }
                 });
}

void ReplicaController::handleOutcome(const Fleet::ReplicaOrder &order, const std::string &name,
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
    // A repeated order for an adapter that is already loading is not counted; its response shows whether the load is
    // complete.
    const auto orderedSlot = m_slots.find(name);
    const bool isConfirmation = orderedSlot != m_slots.end() && std::exchange(orderedSlot->second.isConfirming, false);
    const bool isRetry = std::exchange(m_isRetry, false);
    const auto unanswered = std::exchange(m_unanswered, 0);
    m_isUnreachable = outcome == Fleet::OrderOutcome::NotSent
        || (outcome == Fleet::OrderOutcome::Unknown && unanswered >= m_options.maxRetries);
    const bool isSuccessful = outcome == Fleet::OrderOutcome::Accepted || outcome == Fleet::OrderOutcome::Completed;
    if (isRetry && !isSuccessful) {
        if (outcome == Fleet::OrderOutcome::Conflict && isOnlySender() && !isWaitingForRequests()
            && isOnlyUncertainSlot(name)) {
            recordExecuted(order, name);
            return;
        }
        // The original order may still be executed.
        outcome = Fleet::OrderOutcome::Unknown;
    }
    if (outcome == Fleet::OrderOutcome::Unknown) {
        m_unanswered = unanswered + 1;
        Log::write(Log::Event::OrderUnanswered, {{"replica", m_replica.id.value}, {"order", name}, {"reason", detail}});
        if (isConfirmation && m_unanswered <= m_options.maxRetries) {
            orderedSlot->second.readyAt = now + m_coldLoads.confirmPeriod(now);
            return;
        }
        if (!isConfirmation && retryUnanswered(order, name)) {
            return;
        }
    }
    // Either this order or the original one was executed, so the order count has increased by one.
    const bool isAccepted
        = !isConfirmation && isSuccessful && (outcome == Fleet::OrderOutcome::Accepted || isUnload || isRetry);
    if (isAccepted && isRetry && orderedSlot != m_slots.end()) {
        orderedSlot->second.uncertainOrderCount.reset();
    }
    if (isAccepted && outcome == Fleet::OrderOutcome::Accepted) {
        ++m_acceptedOrders;
    }
    if (isAccepted) {
        resolveUncertain(order.expectedOrderCount);
    }
    if (!isConfirmation && isSuccessful) {
        endWaitForRequests();
    }
    if (outcome == Fleet::OrderOutcome::Conflict && isWaitingForRequests()) {
        m_isModelLoading = m_isModelLoading && !order.adapter.empty();
        handleRefusalWhileWaiting(name, isConfirmation);
        return;
    }
    if (isSuccessful) {
        handleSuccess(order, name, outcome, isConfirmation, isAccepted);
    } else {
        handleFailure(order, name, outcome, isConfirmation);
    }
}

void ReplicaController::handleSuccess(const Fleet::ReplicaOrder &order, const std::string &name,
                                      Fleet::OrderOutcome outcome, bool isConfirmation, bool isCounted)
{
    const auto now = m_scheduler.now();
    const bool isUnload = order.verb == Fleet::OrderVerb::Unload;
    const bool isDone = outcome == Fleet::OrderOutcome::Completed;
    const auto slot = m_slots.find(name);
    if (isConfirmation) {
        ++slot->second.checks;
    }
    if (isConfirmation && !isDone) {
        slot->second.readyAt = now + m_coldLoads.confirmPeriod(now);
        return;
    }
    m_orderCount = order.expectedOrderCount + (isCounted ? 1 : 0);
    m_countAsOf = now;
    if (slot == m_slots.end()) {
        return;
    }
    slot->second.changedAt = now;
    if (!isDone && (isUnload || slot->second.state == SlotState::Replacing)) {
        m_waitingForRequestsSince = now;
    }
    if (isUnload) {
        if (isDone) {
            m_slots.erase(slot);
        }
        return;
    }
    m_cachedAdapters.insert(Fleet::versionedName(name, order.version));
    if (isDone && slot->second.state == SlotState::Loading && slot->second.loadTime > m_options.warmLoadTime) {
        m_coldLoads.recordLoad(now - slot->second.orderedAt,
                               slot->second.checks == 1 ? LoadCheck::First : LoadCheck::Later, now);
    }
    if (isDone) {
        slot->second.state = SlotState::Resident;
        slot->second.isAssumedReady = false;
        slot->second.version = std::max(slot->second.version, order.version);
        slot->second.lastUsed = now;
    }
}

void ReplicaController::handleFailure(const Fleet::ReplicaOrder &order, const std::string &name,
                                      Fleet::OrderOutcome outcome, bool isConfirmation)
{
    const auto now = m_scheduler.now();
    const bool isUnknown = outcome == Fleet::OrderOutcome::Unknown;
    if (const auto slot = m_slots.find(name); slot != m_slots.end()) {
        slot->second.changedAt = now;
        slot->second.readyAt = now + m_coldLoads.confirmPeriod(now);
        if (!isConfirmation && isUnknown) {
            slot->second.uncertainOrderCount = order.expectedOrderCount;
        } else if (!isConfirmation) {
            revertSlot(slot);
        }
    }
    if (order.adapter.empty()) {
        m_isModelLoading = isUnknown;
    }
    // No further orders are sent until a report shows how many orders the replica has accepted.
    m_orderCount.reset();
    m_nextOrderAt = now + ConflictDelay;
    m_nextReport = now + ConflictDelay;
}

void ReplicaController::revertSlot(std::map<std::string, Slot>::iterator slot)
{
    if (slot->second.state == SlotState::Loading) {
        m_slots.erase(slot);
    } else {
        slot->second.state = SlotState::Resident;
    }
}

bool ReplicaController::retryUnanswered(const Fleet::ReplicaOrder &order, const std::string &name)
{
    const auto slot = m_slots.find(name);
    const auto fence = m_fence(m_replica.id);
    if (m_unanswered > m_options.maxRetries || slot == m_slots.end() || order.adapter.empty()
        || m_orderCount != order.expectedOrderCount || !fence.has_value()) {
        return false;
    }
    m_orderFence = *fence;
    slot->second.uncertainOrderCount = order.expectedOrderCount;
    slot->second.changedAt = m_scheduler.now();
    sendOrder(order, name);
    m_isRetry = true;
    return true;
}

bool ReplicaController::isOnlyUncertainSlot(const std::string &name) const
{
    return std::none_of(m_slots.begin(), m_slots.end(), [&name](const auto &slot) {
        return slot.first != name && slot.second.uncertainOrderCount.has_value();
    });
}

bool ReplicaController::isOnlySender() const
{
    return m_acceptedOrders >= AcceptedOrdersToBeOnlySender;
}

void ReplicaController::recordExecuted(const Fleet::ReplicaOrder &order, const std::string &name)
{
    const auto now = m_scheduler.now();
    m_orderCount = order.expectedOrderCount + 1;
    m_countAsOf = now;
    if (const auto slot = m_slots.find(name); slot != m_slots.end()) {
        slot->second.uncertainOrderCount.reset();
        slot->second.changedAt = now;
        if (order.verb == Fleet::OrderVerb::Unload || slot->second.state == SlotState::Replacing) {
            // Complete, or waiting for running requests; the response to the next order shows which.
            m_waitingForRequestsSince = now;
        }
    }
    resolveUncertain(order.expectedOrderCount);
}

bool ReplicaController::isWaitingForRequests() const
{
    return m_waitingForRequestsSince.has_value()
        && m_scheduler.now() - *m_waitingForRequestsSince < m_options.maxRequestDuration;
}

bool ReplicaController::isRefusingOrders() const
{
    const auto now = m_scheduler.now();
    return isWaitingForRequests() && now - *m_waitingForRequestsSince >= m_options.maxWaitForRequests
        && now - m_refusedWhileWaitingAt < m_options.refusalLifetime;
}

void ReplicaController::endWaitForRequests()
{
    if (m_waitingForRequestsSince.has_value()) {
        m_waitingForRequestsSince.reset();
        std::erase_if(m_slots, [](const auto &slot) {
            return slot.second.state == SlotState::Unloading && !slot.second.uncertainOrderCount.has_value();
        });
    }
}

void ReplicaController::handleRefusalWhileWaiting(const std::string &name, bool isConfirmation)
{
    const auto now = m_scheduler.now();
    m_refusedWhileWaitingAt = now;
    m_nextOrderAt = now + WaitingRetryDelay;
    const auto slot = m_slots.find(name);
    if (slot == m_slots.end()) {
        return;
    }
    if (!isConfirmation) {
        revertSlot(slot);
        return;
    }
    slot->second.readyAt = now + WaitingRetryDelay;
    if (now - slot->second.orderedAt >= slot->second.loadTime * 3 / 2) {
        // If the load isn't complete, the replica rejects the request without running it. The adapter isn't unloaded
        // before its load is confirmed: an adapter that is still loading can't be unloaded and would take up a slot
        // later.
        slot->second.isAssumedReady = true;
    }
}

void ReplicaController::resolveUncertain(std::uint64_t acceptedAt)
{
    // The replica accepted this order with the same expected count as an earlier one without a response, which
    // therefore wasn't executed and never will be.
    const auto isVoid = [acceptedAt](const Slot &slot) {
        return slot.uncertainOrderCount.has_value() && *slot.uncertainOrderCount <= acceptedAt;
    };
    std::erase_if(m_slots, [&isVoid](const auto &slot) {
        return isVoid(slot.second) && slot.second.state == SlotState::Loading;
    });
    for (auto &[name, slot] : m_slots) {
        if (isVoid(slot)) {
            slot.uncertainOrderCount.reset();
            slot.state = SlotState::Resident;
        }
    }
}

}
