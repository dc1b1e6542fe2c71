#include <LibHolding/ReplicaController.h>

#include <LibFleet/AdapterName.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Holding {

ReplicaController::ReplicaController(Core::Scheduler &scheduler, Fleet::OrderLink &link,
                                     ReplicaControllerOptions options, FenceFunction fence,
                                     const Fleet::ReleaseTable &releases, Fleet::Replica replica,
                                     Routes::EngineSettings engine)
    : m_scheduler(scheduler)
    , m_link(link)
    , m_options(std::move(options))
    , m_fence(std::move(fence))
    , m_releases(releases)
    , m_replica(std::move(replica))
    , m_engine(std::move(engine))
    , m_coldLoads(m_options.coldLoads)
{
    for (const auto &model : m_replica.models) {
        m_models.insert(model.model);
    }
}

ReplicaController::~ReplicaController()
{
    *m_isAlive = false;
    m_scheduler.cancel(m_timer);
    for (const auto &waiter : m_waiters) {
        waiter.reply({.outcome = static_cast<std::uint8_t>(AdapterOutcome::Unavailable)});
    }
}

void ReplicaController::update(const Fleet::Replica &replica, const Routes::EngineSettings &engine)
{
    if (replica.startedAt != m_replica.startedAt) {
        // A new incarnation with the same id has none of the adapters or orders of the previous one.
        Log::write(Log::Event::TargetRestarted, {{"replica", replica.id.value}});
        m_slots.clear();
        m_models.clear();
        m_orderCount.reset();
        m_acceptedOrders = 0;
        m_waitingForRequestsSince.reset();
        m_eventTimes = Placement::ResponseTimes();
        m_prefillTimes = Placement::ResponseTimes();
        m_nextReport = m_scheduler.now();
    }
    m_replica = replica;
    m_engine = engine;
    for (const auto &model : m_replica.models) {
        m_models.insert(model.model);
    }
    if (m_replica.isDraining) {
        replyToWaiters();
    }
}

const Fleet::Replica &ReplicaController::replica() const
{
    return m_replica;
}

void ReplicaController::request(const AdapterRequest &request, ReplyFunction reply)
{
    const auto now = m_scheduler.now();
    const auto name = Fleet::adapterName(request.model, request.adapter);
    if (const auto slot = m_slots.find(name); slot != m_slots.end()) {
        if (slot->second.version >= request.version) {
            slot->second.lastUsed = now;
        }
        if (request.isReportedMissing) {
            slot->second.isAssumedReady = false;
        }
        if (request.isReportedMissing && slot->second.state == SlotState::Resident) {
            // The adapter may have been dropped. Repeating the load order shows whether it is in memory.
            slot->second.state = SlotState::Loading;
            slot->second.readyAt = now;
            slot->second.changedAt = now;
        }
    }
    if (m_waiters.size() >= m_options.maxWaiters || m_replica.isDraining || !m_models.contains(request.model)
        || !m_fence(m_replica.id).has_value()) {
        const bool isReady = isServable({.request = request});
        if (!isReady) {
            logRefusal(request, "orders can't be sent at present");
        }
        reply({.outcome = static_cast<std::uint8_t>(isReady ? AdapterOutcome::Ready : AdapterOutcome::Unavailable),
               .version = isReady ? m_slots.at(name).version : 0});
        return;
    }
    // Ordered by priority, then by waiting time.
    const auto position = std::find_if(m_waiters.begin(), m_waiters.end(), [&request](const auto &waiter) {
        return waiter.request.priority > request.priority;
    });
    m_waiters.insert(position, {.request = request, .reply = std::move(reply), .since = now});
    sendNextOrder();
}

void ReplicaController::recordUse(const Core::HostId &host, const ReplicaUse &use)
{
    const auto now = m_scheduler.now();
    m_uses[host] = {.use = use, .at = now};
    m_eventTimes.record(use.eventMicroseconds, use.eventSamples, now);
    m_prefillTimes.record(use.prefillMicroseconds, use.prefillSamples, now);
    for (const auto &name : use.adapters) {
        if (const auto slot = m_slots.find(name); slot != m_slots.end()) {
            slot->second.lastUsed = now;
        }
    }
}

void ReplicaController::tick()
{
    const auto now = m_scheduler.now();
    std::erase_if(m_uses, [this, now](const auto &use) {
        return now - use.second.at > m_options.unresponsiveHostUseLifetime;
    });
    m_nextReport = std::min(m_nextReport, now + reportDelay());
    if (now >= m_nextReport && !m_hasReportInFlight) {
        readReport();
    }
    sendNextOrder();
}

std::size_t ReplicaController::capacity() const
{
    double modelSize = 0;
    double adapterSize = 0;
    for (const auto &model : m_engine.models) {
        if (m_models.contains(model.name)) {
            modelSize += model.size;
            adapterSize = std::max(adapterSize, model.adapterSize);
        }
    }
    std::size_t maxAdapters = m_engine.adapterSlots;
    if (adapterSize > 0) {
        maxAdapters = std::min(
            maxAdapters, static_cast<std::size_t>(std::max(0.0, m_engine.weightMemory - modelSize) / adapterSize));
    }
    return maxAdapters;
}

std::size_t ReplicaController::loadsInProgress() const
{
    return static_cast<std::size_t>(std::count_if(m_slots.begin(), m_slots.end(), [](const auto &slot) {
        return slot.second.state == SlotState::Loading || slot.second.state == SlotState::Replacing;
    }));
}

bool ReplicaController::isInUse(const std::string &name) const
{
    return std::any_of(m_uses.begin(), m_uses.end(), [&name](const auto &use) {
        const auto &names = use.second.use.adapters;
        return std::find(names.begin(), names.end(), name) != names.end();
    });
}

bool ReplicaController::isIdle(const std::pair<const std::string, Slot> &slot) const
{
    return slot.second.state == SlotState::Resident && !slot.second.uncertainOrderCount.has_value()
        && m_scheduler.now() - slot.second.lastUsed >= m_options.idleBeforeEviction && !isInUse(slot.first);
}

std::optional<std::string> ReplicaController::victim() const
{
    const std::pair<const std::string, Slot> *leastRecentlyUsed = nullptr;
    for (const auto &slot : m_slots) {
        if (isIdle(slot)
            && (leastRecentlyUsed == nullptr || slot.second.lastUsed < leastRecentlyUsed->second.lastUsed)) {
            leastRecentlyUsed = &slot;
        }
    }
    return leastRecentlyUsed == nullptr ? std::nullopt : std::optional(leastRecentlyUsed->first);
}

Core::Duration ReplicaController::expectedLoadTime(const std::string &name, std::uint64_t version) const
{
    const bool isWarm
        = m_cachedAdapters.contains(name) || m_cachedAdapters.contains(Fleet::versionedName(name, version));
    return isWarm ? m_options.warmLoadTime : m_coldLoads.firstCheckTime();
}

bool ReplicaController::isServable(const Waiter &waiter) const
{
    const auto slot = m_slots.find(Fleet::adapterName(waiter.request.model, waiter.request.adapter));
    if (slot == m_slots.end()) {
        return false;
    }
    const auto &state = slot->second;
    const bool isReady
        = state.state == SlotState::Resident || (state.state == SlotState::Loading && state.isAssumedReady);
    return isReady && !state.uncertainOrderCount.has_value() && state.version >= waiter.request.version;
}

bool ReplicaController::isBeingLoaded(const Waiter &waiter) const
{
    const auto slot = m_slots.find(Fleet::adapterName(waiter.request.model, waiter.request.adapter));
    return slot != m_slots.end() && slot->second.state == SlotState::Loading && !m_isUnreachable
        && !m_replica.isDraining && m_fence(m_replica.id).has_value();
}

bool ReplicaController::isOutdatedInUse(const Waiter &waiter) const
{
    const auto slot = m_slots.find(Fleet::adapterName(waiter.request.model, waiter.request.adapter));
    return slot != m_slots.end() && slot->second.version < waiter.request.version
        && (slot->second.state == SlotState::Replacing || !isIdle(*slot));
}

std::string_view ReplicaController::refusalReason(const Waiter &waiter) const
{
    if (!m_fence(m_replica.id).has_value()) {
        return "this host may not send orders to the replica";
    }
    if (m_replica.isDraining) {
        return "the replica is draining";
    }
    if (m_isUnreachable) {
        return "the replica is unreachable";
    }
    if (isOutdatedInUse(waiter)) {
        return "an older version is in use";
    }
    const auto waited = m_scheduler.now() - waiter.since;
    if (waited >= m_options.maxWait) {
        return "timed out waiting for the load";
    }
    const bool hasSlot = m_slots.contains(Fleet::adapterName(waiter.request.model, waiter.request.adapter));
    if (!hasSlot && isRefusingOrders()) {
        return "an earlier order waits for running requests";
    }
    const auto maxWait = waiter.request.isLastTry ? m_options.maxWaitForSlot : m_options.shortWaitForSlot;
    return !hasSlot && waited >= maxWait && m_slots.size() >= capacity() && !victim().has_value()
        ? "every adapter of the replica is in use"
        : "";
}

void ReplicaController::logRefusal(const AdapterRequest &request, std::string_view reason) const
{
    const auto count = [this](auto predicate) {
        return std::to_string(std::count_if(m_slots.begin(), m_slots.end(), predicate));
    };
    Log::write(Log::Event::AdapterUnavailable,
               {{"replica", m_replica.id.value},
                {"adapter", Fleet::adapterName(request.model, request.adapter)},
                {"reason", std::string(reason)},
                {"waiting", std::to_string(m_waiters.size())},
                {"inTransit", std::to_string(loadsInProgress())},
                {"inUse", count([this](const auto &slot) {
                     return isInUse(slot.first);
                 })},
                {"unloading", count([](const auto &slot) {
                     return slot.second.state == SlotState::Unloading;
                 })},
                {"uncertain", count([](const auto &slot) {
                     return slot.second.uncertainOrderCount.has_value();
                 })},
                {"slots", std::to_string(m_slots.size())},
                {"capacity", std::to_string(capacity())},
                {"ordering", m_hasOrderInFlight ? "yes" : "no"},
                {"orderCount", m_orderCount.has_value() ? std::to_string(*m_orderCount) : "unknown"}});
}

void ReplicaController::replyToWaiters()
{
    std::deque<Waiter> kept;
    std::vector<std::pair<ReplyFunction, AdapterReply>> replies;
    for (auto &waiter : m_waiters) {
        const auto name = Fleet::adapterName(waiter.request.model, waiter.request.adapter);
        if (isServable(waiter) && !m_replica.isDraining) {
            // The host sends its request now; this prevents eviction until its next use notice arrives.
            auto &slot = m_slots.at(name);
            slot.lastUsed = m_scheduler.now();
            replies.emplace_back(std::move(waiter.reply), AdapterReply {.version = slot.version});
        } else if (m_scheduler.now() - waiter.since >= m_options.maxWait && isBeingLoaded(waiter)) {
            const auto now = m_scheduler.now();
            const auto expectedAt = m_slots.at(name).orderedAt + m_coldLoads.loadTime(now);
            const auto delay = std::max(expectedAt - now, m_coldLoads.confirmPeriod(now));
            replies.emplace_back(
                std::move(waiter.reply),
                AdapterReply {.outcome = static_cast<std::uint8_t>(AdapterOutcome::Loading),
                              .delayMilliseconds = static_cast<std::uint32_t>(Core::toMilliseconds(delay))});
        } else if (const auto reason = refusalReason(waiter); !reason.empty()) {
            logRefusal(waiter.request, reason);
            replies.emplace_back(std::move(waiter.reply),
                                 AdapterReply {.outcome = static_cast<std::uint8_t>(AdapterOutcome::Unavailable)});
        } else {
            kept.push_back(std::move(waiter));
        }
    }
    m_waiters = std::move(kept);
    for (const auto &[reply, message] : replies) {
        reply(message);
    }
}

Core::Duration ReplicaController::loadDelay() const
{
    if (m_isUnreachable || m_models.empty() || isRefusingOrders() || !m_fence(m_replica.id).has_value()) {
        return m_options.unavailableLoadDelay;
    }
    // Several waiting adapters are loaded concurrently.
    const auto now = m_scheduler.now();
    const auto maxConcurrent = static_cast<int>(m_coldLoads.concurrentLoads(now));
    const auto ahead = static_cast<int>(loadsInProgress() + m_waiters.size());
    const bool hasSlot = m_slots.size() < capacity() || victim().has_value();
    return m_coldLoads.excess(now) + m_coldLoads.loadTime(now) * std::max(0, ahead - maxConcurrent + 1) / maxConcurrent
        + (hasSlot ? Core::Duration {} : m_options.slotDelay);
}

ReplicaLoad ReplicaController::load() const
{
    ReplicaLoad load {.replica = m_replica.id,
                      .loadDelayMilliseconds = static_cast<std::uint32_t>(Core::toMilliseconds(loadDelay()))};
    for (const auto &[host, use] : m_uses) {
        if (m_scheduler.now() - use.at > m_options.useNoticeLifetime) {
            continue;
        }
        load.active += use.use.active;
        load.waitingTokens += use.use.waitingTokens;
        load.recentlySent += use.use.recentlySent;
        load.limitedSenders += use.use.isLimited && use.use.recentlySent > 0 ? 1 : 0;
        load.usedTokens += use.use.usedTokens;
        load.returnSigns.usual += use.use.returnSigns.usual;
        load.returnSigns.late += use.use.returnSigns.late;
        load.returnSigns.wanted += use.use.returnSigns.wanted;
    }
    const auto eventTime = m_eventTimes.learned(m_scheduler.now());
    load.eventMicroseconds = static_cast<std::uint32_t>(eventTime.time);
    load.eventSamples = static_cast<std::uint32_t>(eventTime.samples);
    const auto prefillTime = m_prefillTimes.learned(m_scheduler.now());
    load.prefillMicroseconds = static_cast<std::uint32_t>(prefillTime.time);
    load.prefillSamples = static_cast<std::uint32_t>(prefillTime.samples);
    return load;
}

ReplicaNotice ReplicaController::notice() const
{
    ReplicaNotice notice {.load = load(), .adapters = {}};
    for (const auto &[name, slot] : m_slots) {
        if (slot.state == SlotState::Resident && !slot.uncertainOrderCount.has_value()) {
            notice.adapters.push_back({.adapter = name, .version = slot.version});
        }
    }
    return notice;
}

}
