#include <LibHolding/ReplicaController.h>

#include <LibLog/Log.h>
#include <algorithm>
#include <utility>

namespace Holding {

namespace {

// After a refused order the replica's own count of orders is read again, when its report has caught up.
constexpr auto ConflictDelay = std::chrono::milliseconds(300);

std::string nameOf(const std::string &model, const std::string &adapter)
{
    return model + '/' + adapter;
}

std::string versionedName(const std::string &name, std::uint64_t version)
{
    return name + '@' + std::to_string(version);
}

}

ReplicaController::ReplicaController(Core::Scheduler &scheduler, Fleet::OrderLink &link,
                                     ReplicaControllerOptions options, FenceFunction fence, Fleet::Replica replica,
                                     Routes::EngineSettings engine)
    : m_scheduler(scheduler)
    , m_link(link)
    , m_options(std::move(options))
    , m_fence(std::move(fence))
    , m_replica(std::move(replica))
    , m_engine(std::move(engine))
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
        // A new start under the same id holds and knows nothing of before.
        Log::write(Log::Event::TargetRestarted, {{"replica", replica.id.value}});
        m_slots.clear();
        m_models.clear();
        m_orderCount.reset();
        m_nextReport = m_scheduler.now();
    }
    m_replica = replica;
    m_engine = engine;
}

const Fleet::Replica &ReplicaController::replica() const
{
    return m_replica;
}

void ReplicaController::request(const AdapterRequest &request, ReplyFunction reply)
{
    const auto now = m_scheduler.now();
    const auto name = nameOf(request.model, request.adapter);
    if (const auto slot = m_slots.find(name); slot != m_slots.end()) {
        if (slot->second.version >= request.version) {
            slot->second.lastUsed = now;
        }
        if (request.isRefuted && slot->second.state == SlotState::Resident) {
            // The adapter may be gone after all; the replica's answer to a repeated order tells.
            slot->second.state = SlotState::Loading;
            slot->second.readyAt = now;
            slot->second.changedAt = now;
        }
    }
    if (m_waiters.size() >= m_options.mostWaiting || m_replica.isDraining || !m_models.contains(request.model)
        || !m_fence(m_replica.id).has_value()) {
        const auto slot = m_slots.find(name);
        const bool isThere = slot != m_slots.end() && slot->second.state == SlotState::Resident
            && slot->second.version >= request.version;
        if (!isThere) {
            logRefusal(request, "no orders are given now");
        }
        reply({.outcome = static_cast<std::uint8_t>(isThere ? AdapterOutcome::Ready : AdapterOutcome::Unavailable),
               .version = isThere ? slot->second.version : 0});
        return;
    }
    // The most urgent first, and among equals the one that has waited longest.
    const auto place = std::find_if(m_waiters.begin(), m_waiters.end(), [&request](const auto &waiter) {
        return waiter.request.priority > request.priority;
    });
    m_waiters.insert(place, {.request = request, .reply = std::move(reply), .since = now});
    pump();
}

void ReplicaController::release(const Fleet::AdapterRelease &release)
{
    auto &newest = m_releases[nameOf(release.model, release.adapter)];
    newest = std::max(newest, release.version);
}

void ReplicaController::noteUse(const Core::HostId &host, const ReplicaUse &use)
{
    const auto now = m_scheduler.now();
    m_uses[host] = {.use = use, .at = now};
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
        return now - use.second.at > m_options.useNoticeLifetime;
    });
    if (now >= m_nextReport && !m_isReporting) {
        readReport();
    }
    pump();
}

void ReplicaController::readReport()
{
    m_isReporting = true;
    const auto askedAt = m_scheduler.now();
    m_nextReport = askedAt + m_options.reportPeriod;
    m_link.report(m_replica, [this, isAlive = m_isAlive, askedAt](const std::optional<Fleet::ReplicaReport> &report) {
        if (!*isAlive) {
            return;
        }
        m_isReporting = false;
        if (report.has_value()) {
            takeReport(*report, askedAt);
            pump();
        }
    });
}

void ReplicaController::takeReport(const Fleet::ReplicaReport &report, Core::TimePoint askedAt)
{
    if (report.startedAt != 0 && m_replica.startedAt != 0 && report.startedAt != m_replica.startedAt) {
        return;
    }
    const auto settledBefore = askedAt - m_options.reportLag;
    std::map<std::string, std::uint64_t> reported;
    std::set<std::string> models;
    for (const auto &model : report.models) {
        models.insert(model.model);
        for (const auto &adapter : model.adapters) {
            reported[nameOf(model.model, adapter.adapter)] = adapter.version;
        }
    }
    std::map<std::string, std::uint64_t> coming;
    for (const auto &text : report.adaptersInTransit) {
        const auto at = text.rfind('@');
        coming[text.substr(0, at)] = at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + 1, nullptr, 10);
    }
    m_models = models;
    m_isModelLoading = report.isBusy || (m_isModelLoading && m_countAsOf > settledBefore);
    for (auto slot = m_slots.begin(); slot != m_slots.end();) {
        auto &state = slot->second;
        const auto found = reported.find(slot->first);
        if (state.uncertainAt.has_value() && report.orderCount > *state.uncertainAt) {
            // No other host gives orders, so the order without an answer was carried out.
            state.uncertainAt.reset();
        }
        const bool isSettled = state.changedAt < settledBefore && !state.uncertainAt.has_value();
        if (isSettled && found != reported.end()) {
            state.version = found->second;
            const bool isOutdated = state.state == SlotState::Replacing && found->second < newestVersion(slot->first);
            state.state = isOutdated ? SlotState::Replacing : SlotState::Resident;
            ++slot;
        } else if (isSettled && !coming.contains(slot->first)) {
            slot = m_slots.erase(slot);
        } else {
            ++slot;
        }
    }
    for (const auto &[name, version] : reported) {
        if (!m_slots.contains(name) && (!m_orderCount.has_value() || m_countAsOf < settledBefore)) {
            // Requests may run on it that other hosts haven't told of yet.
            m_slots[name] = {.version = version, .changedAt = settledBefore, .lastUsed = m_scheduler.now()};
        }
    }
    for (const auto &[name, version] : coming) {
        if (!m_slots.contains(name) && (!m_orderCount.has_value() || m_countAsOf < settledBefore)) {
            m_slots[name] = {.version = version,
                             .state = SlotState::Loading,
                             .changedAt = m_scheduler.now(),
                             .lastUsed = settledBefore,
                             .readyAt = m_scheduler.now() + m_options.coldLoad};
        }
    }
    m_atHand.insert(report.adaptersAtHand.begin(), report.adaptersAtHand.end());
    if (!m_orderCount.has_value() || m_countAsOf < settledBefore) {
        m_orderCount = report.orderCount;
    }
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
    std::size_t most = m_engine.adapterSlots;
    if (adapterSize > 0) {
        most = std::min(most, static_cast<std::size_t>(std::max(0.0, m_engine.weightMemory - modelSize) / adapterSize));
    }
    return most;
}

std::size_t ReplicaController::inTransit() const
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

std::uint64_t ReplicaController::newestVersion(const std::string &name) const
{
    const auto found = m_releases.find(name);
    return found == m_releases.end() ? 0 : found->second;
}

bool ReplicaController::isIdle(const std::pair<const std::string, Slot> &slot) const
{
    return slot.second.state == SlotState::Resident && !slot.second.uncertainAt.has_value()
        && m_scheduler.now() - slot.second.lastUsed >= m_options.idleBeforeEviction && !isInUse(slot.first);
}

std::optional<std::string> ReplicaController::victim() const
{
    const std::pair<const std::string, Slot> *best = nullptr;
    for (const auto &slot : m_slots) {
        if (isIdle(slot) && (best == nullptr || slot.second.lastUsed < best->second.lastUsed)) {
            best = &slot;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->first);
}

Core::Duration ReplicaController::expectedLoadTime(const std::string &name, std::uint64_t version) const
{
    const bool isWarm = m_atHand.contains(name) || m_atHand.contains(versionedName(name, version));
    const auto others = static_cast<int>(inTransit());
    return isWarm ? m_options.warmLoad : m_options.coldLoad + m_options.coldLoad * others / 8;
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

bool ReplicaController::isServable(const Waiter &waiter) const
{
    const auto slot = m_slots.find(nameOf(waiter.request.model, waiter.request.adapter));
    return slot != m_slots.end() && slot->second.state == SlotState::Resident && !slot->second.uncertainAt.has_value()
        && slot->second.version >= waiter.request.version;
}

bool ReplicaController::isOutdatedInUse(const Waiter &waiter) const
{
    const auto slot = m_slots.find(nameOf(waiter.request.model, waiter.request.adapter));
    return slot != m_slots.end() && slot->second.version < waiter.request.version
        && (slot->second.state == SlotState::Replacing || !isIdle(*slot));
}

std::string_view ReplicaController::refusalReason(const Waiter &waiter) const
{
    if (!m_fence(m_replica.id).has_value()) {
        return "no right to give orders";
    }
    if (isOutdatedInUse(waiter)) {
        return "an older version is in use";
    }
    const auto waited = m_scheduler.now() - waiter.since;
    if (waited >= m_options.mostWait) {
        return "waited too long";
    }
    const bool isComing = m_slots.contains(nameOf(waiter.request.model, waiter.request.adapter));
    return !isComing && waited >= m_options.mostWaitForSlot && m_slots.size() >= capacity() && !victim().has_value()
        ? "every adapter there is in use"
        : "";
}

void ReplicaController::logRefusal(const AdapterRequest &request, std::string_view reason) const
{
    const auto count = [this](auto predicate) {
        return std::to_string(std::count_if(m_slots.begin(), m_slots.end(), predicate));
    };
    Log::write(Log::Event::AdapterUnavailable,
               {{"replica", m_replica.id.value},
                {"adapter", nameOf(request.model, request.adapter)},
                {"reason", std::string(reason)},
                {"waiting", std::to_string(m_waiters.size())},
                {"inTransit", std::to_string(inTransit())},
                {"inUse", count([this](const auto &slot) {
                     return isInUse(slot.first);
                 })},
                {"unloading", count([](const auto &slot) {
                     return slot.second.state == SlotState::Unloading;
                 })},
                {"uncertain", count([](const auto &slot) {
                     return slot.second.uncertainAt.has_value();
                 })},
                {"slots", std::to_string(m_slots.size())},
                {"capacity", std::to_string(capacity())},
                {"ordering", m_isOrdering ? "yes" : "no"},
                {"orderCount", m_orderCount.has_value() ? std::to_string(*m_orderCount) : "unknown"}});
}

void ReplicaController::serveWaiters()
{
    std::deque<Waiter> kept;
    std::vector<std::pair<ReplyFunction, AdapterReply>> replies;
    for (auto &waiter : m_waiters) {
        const auto name = nameOf(waiter.request.model, waiter.request.adapter);
        if (isServable(waiter)) {
            replies.emplace_back(std::move(waiter.reply), AdapterReply {.version = m_slots.at(name).version});
        } else if (const auto reason = refusalReason(waiter); !reason.empty()) {
            logRefusal(waiter.request, reason);
            replies.emplace_back(std::move(waiter.reply),
                                 AdapterReply {.outcome = static_cast<std::uint8_t>(AdapterOutcome::Unavailable)});
        } else {
            kept.push_back(std::move(waiter));
        }
    }
    m_waiters = std::move(kept);
    for (const auto &[reply, answer] : replies) {
        reply(answer);
    }
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
            const auto name = nameOf(wanted.model, wanted.adapter);
            if (m_slots.contains(name) || !m_models.contains(wanted.model) || inTransit() >= m_options.mostInTransit) {
                continue;
            }
            if (m_slots.size() < capacity()) {
                orderLoad(wanted.model, wanted.adapter, std::max(wanted.version, newestVersion(name)));
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
    // FI!slot.second.uncertainAt.has_value() && inTransit()ME: With several models, load the one that is asked for most
    // and has the fewest replicas.
    m_isModelLoading = true;
    orderLoad(m_engine.models.front().name, {}, 0);
    return true;
}

bool ReplicaController::replaceOutdated()
{
    for (const auto &[name, newest] : m_releases) {
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
    const auto name = nameOf(model, adapter);
    if (!adapter.empty()) {
        const auto loadTime = expectedLoadTime(name, version);
        auto &slot = m_slots[name];
        const bool isReplacement = slot.changedAt != Core::TimePoint {};
        slot.state = isReplacement ? SlotState::Replacing : SlotState::Loading;
        slot.changedAt = now;
        slot.lastUsed = now;
        slot.readyAt = now + loadTime;
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
    order.expectedCount = *m_orderCount;
    order.holder = m_options.self;
    order.fence = *m_fence(m_replica.id);
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
                {"order", (isUnload ? "unload " : "load ") + versionedName(name, order.version)},
                {"expected", std::to_string(order.expectedCount)},
                {"fence", std::to_string(order.fence)},
                {"answer", detail}});
    // An order for an adapter that is on its way already isn't counted; the answer says whether it has arrived.
    const auto repeated = m_slots.find(name);
    const bool isRepeat = repeated != m_slots.end() && std::exchange(repeated->second.isConfirming, false);
    const bool isAccepted = (outcome == Fleet::OrderOutcome::Accepted && !isRepeat)
        || (outcome == Fleet::OrderOutcome::Holds && isUnload);
    if (isAccepted) {
        settleUncertain(order.expectedCount);
    }
    const auto slot = m_slots.find(name);
    switch (outcome) {
    case Fleet::OrderOutcome::Accepted:
    case Fleet::OrderOutcome::Holds: {
        if (isRepeat && outcome == Fleet::OrderOutcome::Accepted) {
            slot->second.readyAt = now + m_options.confirmPeriod;
            return;
        }
        m_orderCount = order.expectedCount + (isAccepted ? 1 : 0);
        m_countAsOf = now;
        if (slot == m_slots.end()) {
            return;
        }
        slot->second.changedAt = now;
        if (isUnload && outcome == Fleet::OrderOutcome::Holds) {
            m_slots.erase(slot);
        } else if (!isUnload) {
            m_atHand.insert(versionedName(name, order.version));
            if (outcome == Fleet::OrderOutcome::Holds) {
                slot->second.state = SlotState::Resident;
                slot->second.version = std::max(slot->second.version, order.version);
            }
        }
        return;
    }
    case Fleet::OrderOutcome::Unknown:
        Log::write(Log::Event::OrderUnanswered, {{"replica", m_replica.id.value}, {"order", name}, {"reason", detail}});
        if (slot != m_slots.end()) {
            if (!isRepeat) {
                slot->second.uncertainAt = order.expectedCount;
            }
            slot->second.readyAt = now + m_options.confirmPeriod;
            slot->second.changedAt = now;
        }
        break;
    case Fleet::OrderOutcome::Conflict:
    case Fleet::OrderOutcome::Refused:
    case Fleet::OrderOutcome::NotSent:
        if (slot != m_slots.end()) {
            slot->second.changedAt = now;
            slot->second.readyAt = now + m_options.confirmPeriod;
            if (isRepeat) {
                break;
            }
            if (slot->second.state == SlotState::Loading) {
                m_slots.erase(slot);
            } else {
                slot->second.state = SlotState::Resident;
            }
        }
        break;
    }
    if (order.adapter.empty()) {
        m_isModelLoading = outcome == Fleet::OrderOutcome::Unknown;
    }
    // Nothing more is ordered until the replica's report shows how many orders it has accepted.
    m_orderCount.reset();
    m_noOrderBefore = now + ConflictDelay;
    m_nextReport = now + ConflictDelay;
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

ReplicaLoad ReplicaController::load() const
{
    ReplicaLoad load {.replica = m_replica.id};
    for (const auto &[host, use] : m_uses) {
        load.active += use.use.active;
        load.waitingTokens += use.use.waitingTokens;
    }
    for (const auto &[name, slot] : m_slots) {
        if (slot.state == SlotState::Resident && !slot.uncertainAt.has_value()) {
            load.adapters.push_back({.adapter = name, .version = slot.version});
        }
    }
    return load;
}

}
