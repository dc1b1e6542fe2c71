#include <LibOwner/OwnedTargets.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace Owner {

namespace {

constexpr std::int64_t OverloadedRetryMilliseconds = 1000;

}

OwnedTargets::OwnedTargets(Core::Scheduler &scheduler, Peer::PeerRouter &router, Engine::EngineLink &engines,
                           const Membership::OwnershipView &ownership, const Platform::TargetDirectory &directory,
                           OwnedTargetsOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_engines(engines)
    , m_ownership(ownership)
    , m_directory(directory)
    , m_options(options)
{
}

void OwnedTargets::start()
{
    m_router.onCall<GrantRequest, GrantReply>(
        [this](const Core::HostId & /*from*/, GrantRequest asked, ReplyFunction reply) {
            request(std::move(asked), std::move(reply));
        });
    m_router.onMessage<GrantRelease>([this](const Core::HostId & /*from*/, const GrantRelease &released) {
        release(released.grant);
    });
    refreshStatus();
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
        m_engines.status(addressOf(ownership.target), [this, target = ownership.target](const auto &status) {
            if (status.has_value()) {
                takeStatus(target, *status);
            }
        });
    }
    refuseExpired();
    m_scheduler.runAfter(m_options.statusPeriod, [this] {
        refreshStatus();
    });
}

void OwnedTargets::takeStatus(const Core::TargetId &target, const Engine::EngineStatus &status)
{
    auto &table = m_tables[target];
    if (table.incarnation() != status.incarnation) {
        table.resetTo(status.incarnation, status.slotCount);
        for (const auto &slot : status.slots) {
            table.beginLoad(slot.adapter, m_scheduler.now());
            table.finishLoad(slot.adapter);
        }
        dispatch();
    }
}

void OwnedTargets::request(GrantRequest request, ReplyFunction reply)
{
    if (candidates(request).empty()) {
        reply({.outcome = GrantOutcome::NotOwner, .grant = request.grant, .reason = "no owned target serves this"});
        return;
    }
    if (m_waiting.size() >= m_options.mostWaiting) {
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
    std::erase_if(m_waiting, [&](const Waiter &waiter) {
        return waiter.request.grant == grant;
    });
    m_suspects.release(grant);
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
    for (const auto &target : openTargets(waiter.request)) {
        auto &table = m_tables.at(target);
        if (const auto *slot = table.find(waiter.request.adapter); slot != nullptr && slot->state == SlotState::Ready) {
            table.grant(waiter.request.adapter, waiter.request.grant, m_scheduler.now());
            m_suspects.place(target, waiter.request);
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
    const auto targets = openTargets(waiter.request);
    if (targets.empty()) {
        return true;
    }
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
        if (const auto idle = m_tables.at(target).evictable(); !idle.empty()) {
            orderUnload(target, idle.front());
            return true;
        }
    }
    return false;
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
    const auto fence = m_ownership.ownerOf(target).value_or(Membership::Ownership {}).fence;
    m_engines.unload(addressOf(target), {.adapter = adapter, .fence = fence},
                     [this, target, incarnation = table.incarnation(), adapter](Engine::OrderOutcome /*outcome*/) {
                         auto &current = m_tables.at(target);
                         if (current.incarnation() == incarnation) {
                             current.remove(adapter);
                             dispatch();
                         }
                     });
}

void OwnedTargets::finishLoad(const Core::TargetId &target, const std::string &incarnation,
                              const Core::AdapterVersion &adapter, Engine::OrderOutcome outcome)
{
    auto &table = m_tables.at(target);
    if (table.incarnation() != incarnation) {
        return;
    }
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
    std::vector<Core::TargetId> others;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(others), [&](const auto &target) {
        return std::find(request.avoid.begin(), request.avoid.end(), target) == request.avoid.end();
    });
    return others.empty() ? targets : others;
}

std::vector<Core::TargetId> OwnedTargets::openTargets(const GrantRequest &request) const
{
    auto targets = candidates(request);
    std::erase_if(targets, [&](const auto &target) {
        return !m_suspects.allows(target, request);
    });
    return targets;
}

Engine::EngineAddress OwnedTargets::addressOf(const Core::TargetId &target) const
{
    const auto *known = m_directory.find(target);
    return {.target = target, .address = known == nullptr ? "" : known->address};
}

}
