#include <LibOwner/OwnedTargets.h>

#include <LibOwner/PermitMessages.h>
#include <algorithm>
#include <utility>

namespace Owner {

namespace {

// A load order without a response may still take effect, so it is retried until the engine reports its result.
constexpr Core::Duration LoadRetryDelay = std::chrono::seconds(1);

}

OwnedTargets::OwnedTargets(Core::Scheduler &scheduler, Peer::PeerRouter &router, Engine::EngineLink &engines,
                           Membership::OwnershipView &ownership, const Platform::TargetDirectory &directory,
                           IssuedGrants &grants, TakeoverGuard &guard, Trace::Tracer &tracer,
                           const OwnedTargetsOptions &options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_engines(engines)
    , m_ownership(ownership)
    , m_directory(directory)
    , m_grants(grants)
    , m_guard(guard)
    , m_tracer(tracer)
    , m_options(options)
    , m_dispatcher(options.dispatcher, scheduler.now())
{
}

void OwnedTargets::start()
{
    m_router.onCall<GrantRequest, GrantReply>(
        [this](const Core::HostId &from, const GrantRequest &request, ReplyFunction reply) {
            if (m_grants.admit(request.grant, from)) {
                handleRequest(request, std::move(reply));
            }
        });
    m_router.onMessage<GrantRelease>([this](const Core::HostId & /*from*/, const GrantRelease &released) {
        release(released.grant);
    });
    m_router.onCall<GrantConfirmation, GrantConfirmationReply>(
        [this](const Core::HostId & /*from*/, const GrantConfirmation &confirmation, const auto &reply) {
            reply({.isValid = isStillGranted(confirmation.grant)});
        });
    m_router.onCall<PermitRequest, PermitReply>(
        [this](const Core::HostId & /*from*/, const PermitRequest & /*request*/, const auto &reply) {
            reply({.isGranted = m_dispatcher.lendPermit(m_scheduler.now())});
        });
    m_dispatcher.setGuards({.mayPlace =
                                [this](const Core::TargetId &target, const Core::AdapterVersion &adapter) {
                                    return m_guard.mayPlace(target, adapter);
                                },
                            .mayEvict =
                                [this](const Core::TargetId &target, const Core::AdapterVersion &adapter) {
                                    return m_guard.mayUnload(target, adapter);
                                }});
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
        requestStatus(gain.target);
    });
    m_ownership.onLost([this](const Core::TargetId &target) {
        m_guard.end(target);
        m_grants.removeTarget(target);
        m_dispatcher.removeTarget(target);
        step();
    });
    m_ownership.onEvictionPermissionChanged([this] {
        step();
    });
}

const std::map<Core::TargetId, SlotTable> &OwnedTargets::tables() const
{
    return m_dispatcher.tables();
}

std::size_t OwnedTargets::waitingCount() const
{
    return m_dispatcher.waiting().size();
}

std::uint64_t OwnedTargets::loadCount() const
{
    return m_dispatcher.loadCount();
}

void OwnedTargets::refreshStatus()
{
    for (const auto &ownership : m_ownership.owned()) {
        requestStatus(ownership.target);
    }
    step();
    m_scheduler.runAfter(m_options.statusPeriod, [this] {
        refreshStatus();
    });
}

void OwnedTargets::requestStatus(const Core::TargetId &target)
{
    const auto fence = fenceOf(target);
    m_engines.status(addressOf(target), [this, target, fence, requestedAt = m_scheduler.now()](const auto &status) {
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
        m_guard.recordReport(target, requestedAt, busy);
        applyStatus(target, *status, requestedAt);
    });
}

// Updates the dispatcher with which targets this host owns and which of them accept new requests.
void OwnedTargets::refreshTargets()
{
    std::map<Core::TargetId, const Platform::Target *> owned;
    for (const auto &ownership : m_ownership.owned()) {
        owned[ownership.target] = m_directory.find(ownership.target);
    }
    for (const auto &[id, table] : m_dispatcher.tables()) {
        const auto found = owned.find(id);
        const auto *target = found == owned.end() ? nullptr : found->second;
        const bool isServing = target != nullptr && target->state == Platform::MachineState::Live;
        m_dispatcher.setServing(id, target == nullptr ? "" : target->role, isServing);
    }
}

void OwnedTargets::applyStatus(const Core::TargetId &target, const Engine::EngineStatus &status,
                               Core::TimePoint requestedAt)
{
    std::vector<Core::AdapterVersion> resident;
    for (const auto &slot : status.slots) {
        resident.push_back(slot.adapter);
    }
    if (!isCurrentIncarnation(target, status.incarnation)) {
        m_epochs[target] = ++m_lastEpoch;
        m_dispatcher.resetTarget(target, status.incarnation, status.slotCount, resident, m_scheduler.now());
    }
    m_dispatcher.removeUnreported(target, resident, requestedAt);
    m_dispatcher.addReported(target, resident, requestedAt, m_scheduler.now());
    m_dispatcher.report(target, status.batchCapacity, status.runningRequests + status.queuedRequests);
    step();
}

OwnedTargets::ReplyFunction OwnedTargets::withSpan(const GrantRequest &request, ReplyFunction reply)
{
    auto span = m_tracer.begin("owner.decision", Trace::TraceContext::fromHeader(request.traceparent));
    span.set("currantbay.adapter", request.adapter.toString());
    return [this, span = std::move(span), reply = std::move(reply)](const GrantReply &decided) mutable {
        span.set("currantbay.target", decided.target.value);
        m_tracer.end(span);
        reply(decided);
    };
}

void OwnedTargets::handleRequest(const GrantRequest &request, ReplyFunction reply)
{
    reply = withSpan(request, std::move(reply));
    refreshTargets();
    if (!m_dispatcher.isServed(request.baseModel)) {
        m_grants.release(request.grant);
        reply({.outcome = GrantOutcome::NotOwner,
               .grant = request.grant,
               .reason = "this host owns no target that serves the base model"});
        return;
    }
    const auto now = m_scheduler.now();
    m_replies[request.grant] = std::move(reply);
    m_dispatcher.request({.grant = request.grant,
                          .adapter = request.adapter,
                          .baseModel = request.baseModel,
                          .customer = request.customer,
                          .arrivedAt = now,
                          .deadline = now + std::chrono::milliseconds(request.timeoutMilliseconds),
                          .avoid = request.avoid,
                          .isSuspect = request.isSuspect},
                         now);
    step();
}

bool OwnedTargets::isStillGranted(const Core::GrantId &grant)
{
    const auto target = m_grants.confirm(grant);
    const auto owned = m_ownership.owned();
    return target.has_value() && std::any_of(owned.begin(), owned.end(), [&target](const auto &ownership) {
               return ownership.target == *target;
           });
}

void OwnedTargets::release(const Core::GrantId &grant)
{
    m_grants.release(grant);
    m_replies.erase(grant);
    m_dispatcher.release(grant, m_scheduler.now());
    step();
}

void OwnedTargets::step()
{
    refreshTargets();
    for (const auto &action : m_dispatcher.step(m_scheduler.now())) {
        std::visit(
            [this](const auto &chosen) {
                execute(chosen);
            },
            action);
    }
    if (m_dispatcher.wantsPermit(m_scheduler.now())) {
        requestPermit();
    }
}

void OwnedTargets::execute(const GrantAction &action)
{
    m_grants.markGranted(action.request.grant, action.target, action.request.adapter);
    sendReply({.outcome = GrantOutcome::Granted,
               .grant = action.request.grant,
               .target = action.target,
               .targetIncarnation = m_dispatcher.tables().at(action.target).incarnation(),
               .fence = fenceOf(action.target)});
}

void OwnedTargets::execute(const RefuseAction &action)
{
    m_grants.release(action.request.grant);
    sendReply({.outcome = action.outcome,
               .grant = action.request.grant,
               .reason = action.reason,
               .retryAfterMilliseconds = Core::toMilliseconds(action.retryAfter)});
}

void OwnedTargets::execute(const LoadAction &action)
{
    orderLoad(action, epochOf(action.target));
}

void OwnedTargets::orderLoad(const LoadAction &action, const OwnershipEpoch &epoch)
{
    const auto order = orderFor(action.target, action.adapter, epoch);
    m_engines.load(addressOf(action.target), order, [this, action, epoch](Engine::OrderOutcome outcome) {
        if (!isCurrent(action.target, epoch)) {
            return;
        }
        if (outcome == Engine::OrderOutcome::Unknown || outcome == Engine::OrderOutcome::OtherIncarnation) {
            m_scheduler.runAfter(LoadRetryDelay, [this, action, epoch] {
                if (isCurrent(action.target, epoch)) {
                    orderLoad(action, epoch);
                }
            });
            return;
        }
        m_dispatcher.finishLoad(action.target, epoch.incarnation, action.adapter,
                                outcome == Engine::OrderOutcome::Done);
        step();
    });
}

void OwnedTargets::execute(const UnloadAction &action)
{
    sendUnload(action, epochOf(action.target));
}

void OwnedTargets::sendUnload(const UnloadAction &action, const OwnershipEpoch &epoch)
{
    const auto order = orderFor(action.target, action.adapter, epoch);
    m_engines.unload(addressOf(action.target), order, [this, action, epoch](Engine::OrderOutcome outcome) {
        finishUnload(action, epoch, outcome);
    });
}

void OwnedTargets::finishUnload(const UnloadAction &action, const OwnershipEpoch &epoch, Engine::OrderOutcome outcome)
{
    const std::pair key(action.target, action.adapter);
    if (!isCurrent(action.target, epoch)) {
        m_unresolvedUnloads.erase(key);
        return;
    }
    const bool isDone = outcome == Engine::OrderOutcome::Done;
    const bool isUncertain = outcome == Engine::OrderOutcome::Unknown || m_unresolvedUnloads.contains(key);
    if (!isDone && isUncertain) {
        // The unload may still take effect, so the slot stays in the unloading state until an order gets a response.
        m_unresolvedUnloads.insert(key);
        m_scheduler.runAfter(m_options.statusPeriod, [this, action, epoch, key] {
            if (isCurrent(action.target, epoch)) {
                sendUnload(action, epoch);
            } else {
                m_unresolvedUnloads.erase(key);
            }
        });
        return;
    }
    m_unresolvedUnloads.erase(key);
    m_dispatcher.finishUnload(action.target, epoch.incarnation, action.adapter, isDone, m_scheduler.now());
    step();
}

OwnedTargets::OwnershipEpoch OwnedTargets::epochOf(const Core::TargetId &target) const
{
    return {.incarnation = m_dispatcher.tables().at(target).incarnation(), .number = m_epochs.at(target)};
}

Engine::AdapterOrder OwnedTargets::orderFor(const Core::TargetId &target, const Core::AdapterVersion &adapter,
                                            const OwnershipEpoch &epoch) const
{
    return {.adapter = adapter, .fence = fenceOf(target), .incarnation = epoch.incarnation};
}

bool OwnedTargets::isCurrent(const Core::TargetId &target, const OwnershipEpoch &epoch) const
{
    const auto owned = m_ownership.ownerOf(target).value_or(Membership::Ownership {});
    const auto number = m_epochs.find(target);
    return owned.owner == m_router.self() && number != m_epochs.end() && number->second == epoch.number
        && isCurrentIncarnation(target, epoch.incarnation);
}

bool OwnedTargets::isCurrentIncarnation(const Core::TargetId &target, const std::string &incarnation) const
{
    const auto found = m_dispatcher.tables().find(target);
    return found != m_dispatcher.tables().end() && found->second.incarnation() == incarnation;
}

void OwnedTargets::sendReply(const GrantReply &reply)
{
    if (const auto node = m_replies.extract(reply.grant); !node.empty()) {
        node.mapped()(reply);
    }
}

// Requests a permit from the other owners in turn, with one request in flight at a time.
void OwnedTargets::requestPermit()
{
    if (std::exchange(m_isRequestingPermit, true)) {
        return;
    }
    const auto hosts = otherOwners();
    if (hosts.empty()) {
        finishPermitRequest(false);
        return;
    }
    m_lastPermitHost = (m_lastPermitHost + 1) % hosts.size();
    m_router.call<PermitReply>(hosts[m_lastPermitHost], PermitRequest {.waitingAdapters = 1}, m_options.permitTimeout,
                               [this](const std::optional<PermitReply> &reply) {
                                   finishPermitRequest(reply.has_value() && reply->isGranted);
                               });
}

void OwnedTargets::finishPermitRequest(bool isGranted)
{
    if (isGranted) {
        m_dispatcher.receivePermit();
        m_isRequestingPermit = false;
        step();
        return;
    }
    m_scheduler.runAfter(m_options.permitRetryDelay, [this] {
        m_isRequestingPermit = false;
        step();
    });
}

// Returns the other hosts that own targets, as far as this host knows.
std::vector<Core::HostId> OwnedTargets::otherOwners() const
{
    std::vector<Core::HostId> hosts;
    for (const auto &[id, target] : m_directory.all()) {
        const auto ownership = m_ownership.ownerOf(id);
        if (ownership.has_value() && ownership->owner != m_router.self()) {
            hosts.push_back(ownership->owner);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    return hosts;
}

std::uint64_t OwnedTargets::fenceOf(const Core::TargetId &target) const
{
    return m_ownership.ownerOf(target).value_or(Membership::Ownership {}).fence;
}

Engine::EngineAddress OwnedTargets::addressOf(const Core::TargetId &target) const
{
    const auto *known = m_directory.find(target);
    return {.target = target, .address = known == nullptr ? "" : known->address};
}

}
