#include <LibOwner/OwnedTargets.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace Owner {

namespace {

constexpr std::int64_t OverloadedRetryMilliseconds = 1000;

}

OwnedTargets::OwnedTargets(Core::Scheduler &scheduler, Peer::PeerRouter &router, Engine::EngineLink &engines,
                           Membership::OwnershipView &ownership, const Platform::TargetDirectory &directory,
                           IssuedGrants &grants, TakeoverGuard &guard, OwnedTargetsOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_engines(engines)
    , m_ownership(ownership)
    , m_directory(directory)
    , m_grants(grants)
    , m_guard(guard)
    , m_options(options)
{
}

void OwnedTargets::start()
{
    m_router.onCall<GrantRequest, GrantReply>(
        [this](const Core::HostId &from, GrantRequest asked, ReplyFunction reply) {
            if (!m_grants.admit(asked.grant, from)) {
                return;
            }
            request(std::move(asked), std::move(reply));
        });
    m_router.onMessage<GrantRelease>([this](const Core::HostId & /*from*/, const GrantRelease &released) {
        release(released.grant);
    });
    watchOwnership();
    refreshStatus();
}

void OwnedTargets::watchOwnership()
{
    m_grants.start([this](const Core::GrantId &grant) {
        release(grant);
    });
    m_guard.start();
    m_ownership.onGained([this](const Membership::OwnershipGain &gain) {
        m_guard.begin(gain);
        askStatus(gain.target);
    });
    m_ownership.onLost([this](const Core::TargetId &target) {
        m_guard.end(target);
        m_grants.dropTarget(target);
        m_tables.erase(target);
    });
    m_ownership.onAllowanceChanged([this] {
        dispatch();
    });
}

const std::map<Core::TargetId, SlotTable> &OwnedTargets::tables() const
{
    return m_tables;
}

std::size_t OwnedTargets::waitingCount() const
{
    return m_waiting.size();
}

std::uint64_t OwnedTargets::loadCount() const
{
    return m_loadCount;
}

void OwnedTargets::refreshStatus()
{
    for (const auto &ownership : m_ownership.owned()) {
        askStatus(ownership.target);
    }
    refuseExpired();
    m_scheduler.runAfter(m_options.statusPeriod, [this] {
        refreshStatus();
    });
}

void OwnedTargets::askStatus(const Core::TargetId &target)
{
    const auto fence = m_ownership.ownerOf(target).value_or(Membership::Ownership {}).fence;
    m_engines.status(addressOf(target), [this, target, fence, askedAt = m_scheduler.now()](const auto &status) {
        const auto owned = m_ownership.ownerOf(target).value_or(Membership::Ownership {});
        if (!status.has_value() || owned.owner != m_router.self() || owned.fence != fence) {
            return;
        }
        std::set<Core::AdapterVersion> busy;
        for (const auto &slot : status->slots) {
            if (slot.runningRequests > 0) {
                busy.insert(slot.adapter);
            }
        }
        m_guard.takeReport(target, askedAt, busy);
        takeStatus(target, *status, askedAt);
    });
}

void OwnedTargets::takeStatus(const Core::TargetId &target, const Engine::EngineStatus &status, Core::TimePoint askedAt)
{
    auto &table = m_tables[target];
    if (table.incarnation() != status.incarnation) {
        table.resetTo(status.incarnation, status.slotCount);
        for (const auto &slot : status.slots) {
            table.beginLoad(slot.adapter, m_scheduler.now());
            table.finishLoad(slot.adapter);
        }
    }
    // A former owner's order may have taken an adapter away.
    for (const auto &adapter : table.evictable()) {
        const bool isReported = std::any_of(status.slots.begin(), status.slots.end(), [&](const auto &slot) {
            return slot.adapter == adapter;
        });
        if (!isReported && table.find(adapter)->lastUsed < askedAt) {
            table.remove(adapter);
        }
    }
    dispatch();
}

void OwnedTargets::request(GrantRequest request, ReplyFunction reply)
{
    if (candidates(request).empty()) {
        m_grants.release(request.grant);
        reply({.outcome = GrantOutcome::NotOwner, .grant = request.grant, .reason = "no owned target serves this"});
        return;
    }
    if (m_waiting.size() >= m_options.mostWaiting) {
        m_grants.release(request.grant);
        reply({.outcome = GrantOutcome::Overloaded,
               .grant = request.grant,
               .reason = "too many requests are waiting",
               .retryAfterMilliseconds = OverloadedRetryMilliseconds});
        return;
    }
    const auto patience = std::chrono::milliseconds(request.patienceMilliseconds);
    m_waiting.push_back(
        {.request = std::move(request), .reply = std::move(reply), .deadline = m_scheduler.now() + patience});
    dispatch();
}

void OwnedTargets::release(const Core::GrantId &grant)
{
    m_grants.release(grant);
    std::erase_if(m_waiting, [&](const Waiter &waiter) {
        return waiter.request.grant == grant;
    });
    for (auto &[target, table] : m_tables) {
        if (table.release(grant, m_scheduler.now())) {
            break;
        }
    }
    dispatch();
}

void OwnedTargets::dispatch()
{
    std::erase_if(m_waiting, [this](const Waiter &waiter) {
        return serve(waiter);
    });
    for (const auto &waiter : m_waiting) {
        if (!startLoad(waiter)) {
            break;
        }
    }
}

bool OwnedTargets::serve(const Waiter &waiter)
{
    for (const auto &target : candidates(waiter.request)) {
        auto &table = m_tables.at(target);
        const auto *slot = table.find(waiter.request.adapter);
        if (slot != nullptr && slot->state == SlotState::Ready && m_guard.mayPlace(target, waiter.request.adapter)) {
            m_grants.grant(waiter.request.grant, target, waiter.request.adapter);
            table.grant(waiter.request.adapter, waiter.request.grant, m_scheduler.now());
            waiter.reply({.outcome = GrantOutcome::Granted,
                          .grant = waiter.request.grant,
                          .target = target,
                          .targetIncarnation = table.incarnation()});
            return true;
        }
    }
    return false;
}

// Returns false when no target can take a load now, so that later waiters need not be tried.
bool OwnedTargets::startLoad(const Waiter &waiter)
{
    auto targets = candidates(waiter.request);
    std::erase_if(targets, [&](const Core::TargetId &target) {
        return !m_guard.mayPlace(target, waiter.request.adapter);
    });
    const bool isOnItsWay = std::any_of(targets.begin(), targets.end(), [&](const auto &target) {
        return m_tables.at(target).find(waiter.request.adapter) != nullptr;
    });
    if (isOnItsWay) {
        return true;
    }
    for (const auto &target : targets) {
        if (m_tables.at(target).hasFreeSlot()) {
            orderLoad(target, waiter.request.adapter);
            return true;
        }
    }
    for (const auto &target : targets) {
        if (const auto idle = victim(target); idle.has_value()) {
            orderUnload(target, *idle);
            return true;
        }
    }
    return false;
}

std::optional<Core::AdapterVersion> OwnedTargets::victim(const Core::TargetId &target)
{
    for (const auto &adapter : m_tables.at(target).evictable()) {
        if (m_guard.mayUnload(target, adapter)) {
            return adapter;
        }
    }
    return std::nullopt;
}

void OwnedTargets::orderLoad(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    auto &table = m_tables.at(target);
    table.beginLoad(adapter, m_scheduler.now());
    ++m_loadCount;
    const auto fence = m_ownership.ownerOf(target).value_or(Membership::Ownership {}).fence;
    m_engines.load(addressOf(target), {.adapter = adapter, .fence = fence},
                   [this, target, incarnation = table.incarnation(), adapter](Engine::OrderOutcome outcome) {
                       finishLoad(target, incarnation, adapter, outcome);
                   });
}

void OwnedTargets::orderUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    auto &table = m_tables.at(target);
    table.beginUnload(adapter);
    sendUnload(target, table.incarnation(), adapter);
}

void OwnedTargets::sendUnload(const Core::TargetId &target, const std::string &incarnation,
                              const Core::AdapterVersion &adapter)
{
    const auto fence = m_ownership.ownerOf(target).value_or(Membership::Ownership {}).fence;
    m_engines.unload(addressOf(target), {.adapter = adapter, .fence = fence},
                     [this, target, incarnation, adapter](Engine::OrderOutcome outcome) {
                         finishUnload(target, incarnation, adapter, outcome);
                     });
}

void OwnedTargets::finishUnload(const Core::TargetId &target, const std::string &incarnation,
                                const Core::AdapterVersion &adapter, Engine::OrderOutcome outcome)
{
    const auto table = m_tables.find(target);
    if (table == m_tables.end() || table->second.incarnation() != incarnation) {
        return;
    }
    if (outcome == Engine::OrderOutcome::Done) {
        table->second.remove(adapter);
    } else if (outcome != Engine::OrderOutcome::Unknown && !m_uncertainUnloads.contains({target, adapter})) {
        table->second.cancelUnload(adapter);
    } else {
        // The order may still take effect, so nothing is placed on the adapter until one has been answered.
        m_uncertainUnloads.insert({target, adapter});
        m_scheduler.runAfter(m_options.statusPeriod, [this, target, incarnation, adapter] {
            retryUnload(target, incarnation, adapter);
        });
        return;
    }
    m_uncertainUnloads.erase({target, adapter});
    dispatch();
}

void OwnedTargets::retryUnload(const Core::TargetId &target, const std::string &incarnation,
                               const Core::AdapterVersion &adapter)
{
    const auto table = m_tables.find(target);
    if (table == m_tables.end() || table->second.incarnation() != incarnation) {
        m_uncertainUnloads.erase({target, adapter});
        return;
    }
    sendUnload(target, incarnation, adapter);
}

void OwnedTargets::finishLoad(const Core::TargetId &target, const std::string &incarnation,
                              const Core::AdapterVersion &adapter, Engine::OrderOutcome outcome)
{
    const auto found = m_tables.find(target);
    if (found == m_tables.end() || found->second.incarnation() != incarnation) {
        return;
    }
    auto &table = found->second;
    if (outcome == Engine::OrderOutcome::Done) {
        table.finishLoad(adapter);
        dispatch();
        return;
    }
    table.remove(adapter);
    std::vector<Waiter> failed;
    std::erase_if(m_waiting, [&](const Waiter &waiter) {
        const bool isFailed = waiter.request.adapter == adapter;
        if (isFailed) {
            failed.push_back(waiter);
        }
        return isFailed;
    });
    for (const auto &waiter : failed) {
        waiter.reply({.outcome = GrantOutcome::LoadFailed,
                      .grant = waiter.request.grant,
                      .target = target,
                      .reason = "loading " + adapter.toString() + " failed",
                      .retryAfterMilliseconds = OverloadedRetryMilliseconds});
    }
    dispatch();
}

void OwnedTargets::refuseExpired()
{
    const auto now = m_scheduler.now();
    std::erase_if(m_waiting, [now](const Waiter &waiter) {
        if (waiter.deadline > now) {
            return false;
        }
        waiter.reply({.outcome = GrantOutcome::Overloaded,
                      .grant = waiter.request.grant,
                      .reason = "no slot became free in time",
                      .retryAfterMilliseconds = OverloadedRetryMilliseconds});
        return true;
    });
}

std::vector<Core::TargetId> OwnedTargets::candidates(const GrantRequest &request) const
{
    std::vector<Core::RendezvousCandidate> owned;
    for (const auto &ownership : m_ownership.owned()) {
        const auto *target = m_directory.find(ownership.target);
        const bool isServing = target != nullptr && target->role == request.baseModel
            && target->state == Platform::MachineState::Live && m_tables.contains(ownership.target);
        if (isServing) {
            owned.push_back({.name = ownership.target.value});
        }
    }
    std::vector<Core::TargetId> targets;
    for (auto &name : Core::rankByRendezvous(request.adapter.toString(), owned)) {
        targets.push_back({std::move(name)});
    }
    return targets;
}

Engine::EngineAddress OwnedTargets::addressOf(const Core::TargetId &target) const
{
    const auto *known = m_directory.find(target);
    return {.target = target, .address = known == nullptr ? "" : known->address};
}

}
