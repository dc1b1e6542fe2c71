#include <LibFront/Completion.h>

#include <LibCore/Rendezvous.h>
#include <LibFront/Refusals.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Front {

namespace {

using Routing::Failure;
using Routing::NextStep;

constexpr std::uint32_t MaxRetries = 6; // Per request, over all owners and targets.
// Before the second retry. The first is made at once; the delay doubles with each further one.
constexpr auto InitialRetryDelay = std::chrono::milliseconds(250);
// How long after the caller's deadline a reply to a grant request is still accepted, so that a grant from an owner
// that was considered unresponsive can be released.
constexpr auto LateReplyPeriod = std::chrono::seconds(60);
// A live owner confirms a grant within milliseconds, and the confirmation must leave time to use the grant.
constexpr auto GrantConfirmationTimeout = std::chrono::milliseconds(1000);

Failure failureOf(Owner::GrantOutcome outcome)
{
    switch (outcome) {
    case Owner::GrantOutcome::Overloaded:
        return Failure::Overloaded;
    case Owner::GrantOutcome::LoadFailed:
        return Failure::LoadFailed;
    default:
        return Failure::NotOwner;
    }
}

}

Completion::Completion(const FrontDependencies &dependencies, Core::HostId self, Core::ZoneId zone,
                       CompletionRequest request, std::shared_ptr<CallerResponse> response, DoneFunction done)
    : m_dependencies(dependencies)
    , m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_request(std::move(request))
    , m_response(std::move(response))
    , m_done(std::move(done))
    , m_assembly({.maxTokens = m_request.maxTokens})
{
}

void Completion::start()
{
    m_startedAt = m_dependencies.scheduler.now();
    m_span = m_dependencies.tracer.begin("front.completion", m_request.traceParent);
    m_span.set("currantbay.model", m_request.model);
    const auto resolution = m_dependencies.tickets.state()->resolve(m_request.customer, m_request.model);
    if (const auto *reason = std::get_if<Ticket::ResolveRefusal>(&resolution)) {
        endWithRefusal(describe(*reason, m_request.model));
        return;
    }
    m_resolved = std::get<Ticket::ResolvedAdapter>(resolution);
    m_fingerprint = Routing::fingerprintOf(m_request.customer, m_resolved.adapter, m_request.prompt);
    if (refuseIfQuarantined()) {
        return;
    }
    m_dependencies.retryBudget.recordRequest();
    m_deadline = m_dependencies.scheduler.runAfter(m_request.timeout, ifStillRunning([](Completion &self) {
                                                       self.endWithFailure({.failure = Failure::DeadlinePassed});
                                                   }));
    rankOwners();
    tryNextOwner();
}

void Completion::abandon()
{
    if (!m_hasEnded) {
        finish(Outcome::Unknown);
    }
}

// Owners in the own zone come first. Those in other zones are used if no owner in the own zone can serve the request.
// Owners of targets that failed recently come last.
void Completion::rankOwners()
{
    m_candidateOwners.clear();
    m_mayViewBeStale = false;
    std::vector<Core::ZoneId> zones {m_zone};
    for (const auto &[id, target] : m_dependencies.directory.all()) {
        if (std::find(zones.begin(), zones.end(), target.zone) == zones.end()) {
            zones.push_back(target.zone);
        }
    }
    const auto avoided = m_dependencies.avoidance.avoided(m_dependencies.scheduler.now());
    std::vector<Core::TargetId> avoidedTargets;
    for (const auto &zone : zones) {
        for (auto &target : rankTargetsOf(zone)) {
            if (std::find(avoided.begin(), avoided.end(), target) == avoided.end()) {
                addOwnerOf(target);
            } else {
                avoidedTargets.push_back(std::move(target));
            }
        }
    }
    for (const auto &target : avoidedTargets) {
        addOwnerOf(target);
    }
}

std::vector<Core::TargetId> Completion::rankTargetsOf(const Core::ZoneId &zone) const
{
    std::vector<Core::RendezvousCandidate> candidates;
    for (const auto *target :
         m_dependencies.directory.available(zone, Platform::MachineKind::Engine, m_resolved.baseModel)) {
        candidates.push_back({.name = target->id.value});
    }
    std::vector<Core::TargetId> ranked;
    for (auto &name : Core::rankByRendezvous(m_resolved.adapter.toString(), candidates)) {
        ranked.push_back({std::move(name)});
    }
    return ranked;
}

void Completion::addOwnerOf(const Core::TargetId &target)
{
    const auto ownership = m_dependencies.ownership.ownerOf(target);
    const bool isNew = ownership.has_value()
        && std::none_of(m_candidateOwners.begin(), m_candidateOwners.end(), [&](const auto &candidate) {
                           return candidate.owner == ownership->owner;
                       });
    if (isNew) {
        const auto *listed = m_dependencies.directory.find(target);
        m_candidateOwners.push_back(
            {.owner = ownership->owner, .isInOwnZone = listed != nullptr && listed->zone == m_zone});
    }
}

void Completion::tryNextOwner()
{
    if (m_candidateOwners.empty()) {
        if (m_mayViewBeStale) {
            retryOwners();
        } else {
            endWithFailure(m_lastFailure);
        }
        return;
    }
    m_owner = m_candidateOwners.front().owner;
    m_candidateOwners.pop_front();
    sendGrantRequest();
}

void Completion::sendGrantRequest()
{
    m_grant = {m_dependencies.ids.next("grant")};
    m_grantState = GrantState::Requested;
    m_grantConfirmedAt = m_dependencies.scheduler.now();
    m_hasResumedUnderGrant = false;
    auto span = m_dependencies.tracer.begin("owner.grant", m_span.context);
    span.set("currantbay.owner", m_owner.value);
    const Owner::GrantRequest request {.grant = m_grant,
                                       .adapter = m_resolved.adapter,
                                       .baseModel = m_resolved.baseModel,
                                       .customer = m_request.customer,
                                       .traceparent = span.context.toHeader(),
                                       .timeoutMilliseconds = Core::toMilliseconds(timeLeft()),
                                       .avoid = m_dependencies.avoidance.avoided(m_dependencies.scheduler.now()),
                                       .isSuspect = m_dependencies.quarantine.suspicionOf(m_fingerprint)
                                           == Routing::Suspicion::Suspect};
    m_dependencies.heldGrants.addPending(m_grant, m_resolved.adapter, m_owner);
    m_ownerWatch = m_dependencies.owners.watch(m_owner, ifStillRunning([](Completion &self) {
                                                   self.handleUnresponsiveOwner();
                                               }));
    m_dependencies.router.call<Owner::GrantReply>(
        m_owner, request, timeLeft() + LateReplyPeriod,
        [weak = weak_from_this(), dependencies = m_dependencies, owner = m_owner, grant = m_grant,
         span = std::move(span)](const auto &reply) {
            dependencies.tracer.end(span);
            const auto self = weak.lock();
            const bool isExpected = self != nullptr && !self->m_hasEnded && self->m_grant == grant
                && self->m_grantState == GrantState::Requested;
            if (isExpected && reply.has_value()) {
                self->handleGrantReply(*reply);
            } else if (reply.has_value() && reply->outcome == Owner::GrantOutcome::Granted) {
                dependencies.grantReleaser.release(owner, grant);
            }
        });
}

void Completion::handleGrantReply(const Owner::GrantReply &reply)
{
    m_dependencies.owners.unwatch(m_ownerWatch);
    if (reply.outcome != Owner::GrantOutcome::Granted) {
        m_grantState = GrantState::None;
        m_dependencies.heldGrants.release(m_grant);
        m_mayViewBeStale = m_mayViewBeStale || reply.outcome == Owner::GrantOutcome::NotOwner;
        handleFailure({.failure = failureOf(reply.outcome), .reason = reply.reason});
        return;
    }
    m_grantState = GrantState::Held;
    m_grantReply = reply;
    if (!m_dependencies.heldGrants.markGranted(m_grant, reply.target, reply.fence)) {
        m_mayViewBeStale = true;
        handleFailure({.failure = Failure::NotOwner});
        return;
    }
    startAttempt(Engine::StreamConnection::Any);
}

void Completion::handleUnresponsiveOwner()
{
    if (m_grantState == GrantState::Requested) {
        m_mayViewBeStale = true;
        handleFailure({.failure = Failure::OwnerUnresponsive});
    }
}

// By the time of the retry, an unresponsive owner may have been replaced, and an owner without a suitable target may
// own one.
void Completion::retryOwners()
{
    retryAfterDelay([](Completion &self) {
        self.rankOwners();
        self.tryNextOwner();
    });
}

void Completion::startAttempt(Engine::StreamConnection connection)
{
    if (m_dependencies.scheduler.now() - m_grantConfirmedAt > Owner::GrantUseLimit) {
        confirmGrant(connection);
        return;
    }
    const auto *target = m_dependencies.directory.find(m_grantReply.target);
    if (target == nullptr) {
        handleFailure({.failure = Failure::TargetGone});
        return;
    }
    m_grantState = GrantState::InUse;
    m_attemptSpan = m_dependencies.tracer.begin("engine.attempt", m_span.context);
    m_attemptSpan->set("currantbay.target", target->id.value);
    m_attempt = std::make_shared<EngineAttempt>(m_dependencies.engines, m_assembly, attemptEvents());
    m_attempt->start({.target = target->id, .address = target->address},
                     {.attempt = {m_dependencies.ids.next("attempt")},
                      .adapter = m_resolved.adapter,
                      .prompt = m_request.prompt,
                      .maxTokens = m_request.maxTokens,
                      .offset = m_assembly.resumeOffset(),
                      .timeoutMilliseconds = Core::toMilliseconds(timeLeft()),
                      .connection = connection,
                      .traceparent = m_attemptSpan->context.toHeader()},
                     m_grantReply.targetIncarnation);
}

void Completion::confirmGrant(Engine::StreamConnection connection)
{
    const auto askedAt = m_dependencies.scheduler.now();
    m_dependencies.router.call<Owner::GrantConfirmationReply>(
        m_owner, Owner::GrantConfirmation {.grant = m_grant}, GrantConfirmationTimeout,
        [weak = weak_from_this(), grant = m_grant, connection, askedAt](const auto &reply) {
            const auto self = weak.lock();
            if (self == nullptr || self->m_hasEnded || self->m_grant != grant) {
                return;
            }
            if (!reply.has_value() || !reply->isValid) {
                self->m_mayViewBeStale = true;
                self->handleFailure({.failure = Failure::OwnerUnresponsive});
                return;
            }
            self->m_grantConfirmedAt = askedAt;
            self->startAttempt(connection);
        });
}

void Completion::endAttemptSpan(std::string_view result)
{
    if (m_attemptSpan.has_value()) {
        m_attemptSpan->set("currantbay.result", std::string(result));
        m_dependencies.tracer.end(*m_attemptSpan);
        m_attemptSpan.reset();
    }
}

EngineAttempt::Events Completion::attemptEvents()
{
    const auto weak = weak_from_this();
    const auto run = [weak](auto task) {
        if (const auto self = weak.lock(); self != nullptr && !self->m_hasEnded) {
            task(*self);
        }
    };
    return {.onHead =
                [run] {
                    run([](Completion &self) {
                        self.handleHead();
                    });
                },
            .onText =
                [run](const std::string &text) {
                    run([&](Completion &self) {
                        self.m_response->text(text);
                    });
                },
            .onComplete =
                [run] {
                    run([](Completion &self) {
                        self.handleComplete();
                    });
                },
            .onFailure =
                [run](const auto &failure) {
                    run([&](Completion &self) {
                        self.handleFailure(failure);
                    });
                }};
}

void Completion::handleHead()
{
    if (!std::exchange(m_hasBegunResponse, true)) {
        m_response->begin({.adapter = m_resolved.adapter, .target = m_grantReply.target});
    }
}

void Completion::handleComplete()
{
    if (!m_hasResumedUnderGrant) {
        m_grantState = GrantState::Held;
    }
    m_dependencies.avoidance.recordSuccess(m_grantReply.target);
    m_dependencies.quarantine.recordCompletion(m_fingerprint);
    endAttemptSpan("whole");
    m_response->finish(m_assembly.deliveredCount());
    finish(Outcome::Completed);
}

void Completion::handleFailure(const AttemptFailure &failure)
{
    const auto &rule = Routing::ruleFor(failure.failure);
    const bool hasNotRun = rule.runClass == Routing::RunClass::NotRun;
    m_lastFailure = failure;
    endAttemptSpan("failed");
    m_mayHaveRun = m_mayHaveRun || !hasNotRun;
    if (m_grantState == GrantState::InUse && hasNotRun && !m_hasResumedUnderGrant) {
        m_grantState = GrantState::Held;
    }
    switch (rule.next) {
    case NextStep::TryNextOwnerInZone:
        std::erase_if(m_candidateOwners, [](const auto &ranked) {
            return !ranked.isInOwnZone;
        });
        [[fallthrough]];
    case NextStep::TryNextOwner:
        releaseGrant();
        tryNextOwner();
        break;
    case NextStep::Resume:
        checkTargetStatus(failure);
        break;
    case NextStep::RequestNewGrant:
        m_dependencies.avoidance.recordFailure(m_grantReply.target, m_dependencies.scheduler.now());
        retryWithNewGrant();
        break;
    case NextStep::GiveUp:
        endWithFailure(failure);
        break;
    }
}

void Completion::checkTargetStatus(const AttemptFailure &failure)
{
    const auto *target = m_dependencies.directory.find(m_grantReply.target);
    if (target == nullptr) {
        retryWithNewGrant();
        return;
    }
    m_dependencies.engines.status({.target = target->id, .address = target->address},
                                  [weak = weak_from_this(), failure](const auto &status) {
                                      if (const auto self = weak.lock(); self != nullptr && !self->m_hasEnded) {
                                          self->handleTargetStatus(failure, status);
                                      }
                                  });
}

void Completion::handleTargetStatus(const AttemptFailure &failure, const std::optional<Engine::EngineStatus> &status)
{
    const bool isAlive = status.has_value() && status->incarnation == m_grantReply.targetIncarnation;
    const bool isRetryAllowed = m_retries < MaxRetries && !m_hasResumedUnderGrant;
    if (isAlive && isRetryAllowed && m_dependencies.retryBudget.tryRetry()) {
        ++m_retries;
        m_hasResumedUnderGrant = true;
        Log::write(Log::Event::AnswerResumed, {{"target", m_grantReply.target.value}, {"reason", failure.reason}});
        startAttempt(Engine::StreamConnection::Fresh);
        return;
    }
    // A missing response alone doesn't show that the target died: it may be unreachable from this host or suspended.
    const bool isDead = status.has_value() ? !isAlive : failure.failure == Failure::StreamBroken;
    if (isDead) {
        m_dependencies.quarantine.recordDeath(
            m_fingerprint, {.target = m_grantReply.target, .incarnation = m_grantReply.targetIncarnation});
    }
    m_dependencies.avoidance.recordFailure(m_grantReply.target, m_dependencies.scheduler.now());
    retryWithNewGrant();
}

void Completion::retryWithNewGrant()
{
    releaseGrant();
    if (refuseIfQuarantined()) {
        return;
    }
    retryAfterDelay([](Completion &self) {
        if (!self.refuseIfQuarantined()) {
            self.rankOwners();
            self.tryNextOwner();
        }
    });
}

void Completion::retryAfterDelay(std::function<void(Completion &)> retry)
{
    if (m_retries >= MaxRetries || !m_dependencies.retryBudget.tryRetry()) {
        endWithFailure(m_lastFailure);
        return;
    }
    const Core::Duration delay = m_retries == 0 ? Core::Duration() : InitialRetryDelay * (1U << (m_retries - 1));
    ++m_retries;
    m_dependencies.scheduler.runAfter(delay, ifStillRunning(std::move(retry)));
}

// Refuses the request and returns true if it is quarantined.
bool Completion::refuseIfQuarantined()
{
    if (m_dependencies.quarantine.suspicionOf(m_fingerprint) != Routing::Suspicion::Refused) {
        return false;
    }
    endWithRefusal(describeQuarantine(m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
    return true;
}

void Completion::endWithFailure(const AttemptFailure &failure)
{
    // An attempt that is still running has run partly.
    m_mayHaveRun = m_mayHaveRun || m_grantState == GrantState::InUse;
    const bool hasOwnerFailed = m_grantState == GrantState::None || m_grantState == GrantState::Requested;
    const auto component = hasOwnerFailed ? m_owner.value : m_grantReply.target.value;
    endWithRefusal(describe(failure, component, m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
}

void Completion::endWithRefusal(Refusal refusal)
{
    m_span.set("currantbay.refusal", refusal.code);
    if (m_hasBegunResponse) {
        Log::write(Log::Event::AnswerCut, {{"reason", refusal.message}});
        m_response->abort(refusal);
    } else {
        m_response->refuse(refusal);
    }
    finish(refusal.outcome);
}

void Completion::finish(Outcome outcome)
{
    m_hasEnded = true;
    m_dependencies.scheduler.cancel(m_deadline);
    releaseGrant();
    m_span.set("currantbay.outcome", std::string(toText(outcome)));
    m_dependencies.tracer.end(m_span);
    m_dependencies.metrics.count("currantbay_requests_total{outcome=\"" + std::string(toText(outcome)) + "\"}");
    m_dependencies.metrics.observe("currantbay_request_seconds", m_dependencies.scheduler.now() - m_startedAt);
    m_done();
}

void Completion::releaseGrant()
{
    m_dependencies.owners.unwatch(m_ownerWatch);
    if (m_attempt != nullptr) {
        m_attempt->cancel();
    }
    switch (std::exchange(m_grantState, GrantState::None)) {
    case GrantState::None:
        break;
    case GrantState::Requested:
        m_dependencies.grantReleaser.releaseToUnresponsiveOwner(m_owner, m_grant);
        break;
    case GrantState::Held:
        m_dependencies.grantReleaser.release(m_owner, m_grant);
        break;
    case GrantState::InUse:
        m_dependencies.grantReleaser.releaseWhenIdle({.owner = m_owner,
                                                      .grant = m_grant,
                                                      .target = m_grantReply.target,
                                                      .targetIncarnation = m_grantReply.targetIncarnation,
                                                      .adapter = m_resolved.adapter});
        break;
    }
}

Core::Duration Completion::timeLeft() const
{
    return std::max(m_startedAt + m_request.timeout - m_dependencies.scheduler.now(), Core::Duration::zero());
}

Core::Scheduler::Task Completion::ifStillRunning(std::function<void(Completion &)> task)
{
    return [weak = weak_from_this(), task = std::move(task)] {
        if (const auto self = weak.lock(); self != nullptr && !self->m_hasEnded) {
            task(*self);
        }
    };
}

}
