#include <LibFront/Completion.h>

#include <LibCore/Rendezvous.h>
#include <LibFront/Refusals.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Front {

namespace {

using Routing::Failure;
using Routing::NextStep;

constexpr std::uint32_t MostRetries = 6; // Of one request, over all owners and targets.
constexpr auto FirstPause = std::chrono::milliseconds(250); // Before the second retry; doubles with each further.
// How long a grant that an owner gives after it was taken for silent is still heard of and given back.
constexpr auto LateReplyPeriod = std::chrono::seconds(60);

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

Completion::Completion(const FrontDependencies &ports, Core::HostId self, Core::ZoneId zone, CompletionRequest request,
                       std::shared_ptr<CallerResponse> answer, DoneFunction done)
    : m_ports(ports)
    , m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_request(std::move(request))
    , m_answer(std::move(answer))
    , m_done(std::move(done))
    , m_assembly({.mostTokens = m_request.maxTokens})
{
}

void Completion::start()
{
    m_startedAt = m_ports.scheduler.now();
    m_span = m_ports.tracer.begin("front.completion", m_request.traceParent);
    m_span.set("currantbay.model", m_request.model);
    const auto resolution = m_ports.tickets.state()->resolve(m_request.customer, m_request.model);
    if (const auto *reason = std::get_if<Ticket::ResolveRefusal>(&resolution)) {
        end(describe(*reason, m_request.model));
        return;
    }
    m_resolved = std::get<Ticket::ResolvedAdapter>(resolution);
    m_fingerprint = Routing::fingerprintOf(m_request.customer, m_resolved.adapter, m_request.prompt);
    if (isQuarantined()) {
        return;
    }
    m_ports.retryBudget.noteRequest();
    m_deadline = m_ports.scheduler.runAfter(m_request.timeout, whileRunning([](Completion &self) {
                                                self.giveUp({.failure = Failure::DeadlinePassed});
                                            }));
    rankOwners();
    askNextOwner();
}

void Completion::abandon()
{
    if (!m_hasEnded) {
        finish(Outcome::Unknown);
    }
}

// The owners of the own availability zone come first; those of others serve when it has none that can. Owners of
// targets that failed lately come last.
void Completion::rankOwners()
{
    m_ownersToAsk.clear();
    m_isViewDoubtful = false;
    std::vector<Core::ZoneId> zones {m_zone};
    for (const auto &[id, target] : m_ports.directory.all()) {
        if (std::find(zones.begin(), zones.end(), target.zone) == zones.end()) {
            zones.push_back(target.zone);
        }
    }
    const auto avoided = m_ports.avoidance.avoided(m_ports.scheduler.now());
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
    for (const auto *target : m_ports.directory.available(zone, Platform::MachineKind::Engine, m_resolved.baseModel)) {
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
    const auto ownership = m_ports.ownership.ownerOf(target);
    const bool isNew
        = ownership.has_value() && std::none_of(m_ownersToAsk.begin(), m_ownersToAsk.end(), [&](const auto &asked) {
              return asked.owner == ownership->owner;
          });
    if (isNew) {
        const auto *known = m_ports.directory.find(target);
        m_ownersToAsk.push_back({.owner = ownership->owner, .isOfOwnZone = known != nullptr && known->zone == m_zone});
    }
}

void Completion::askNextOwner()
{
    if (m_ownersToAsk.empty()) {
        if (m_isViewDoubtful) {
            askOwnersAnew();
        } else {
            giveUp(m_lastFailure);
        }
        return;
    }
    m_owner = m_ownersToAsk.front().owner;
    m_ownersToAsk.pop_front();
    sendGrantRequest();
}

void Completion::sendGrantRequest()
{
    m_grant = {m_ports.ids.next("grant")};
    m_grantState = GrantState::Asked;
    m_hasResumedHere = false;
    auto span = m_ports.tracer.begin("owner.grant", m_span.context);
    span.set("currantbay.owner", m_owner.value);
    const Owner::GrantRequest asked {.grant = m_grant,
                                     .adapter = m_resolved.adapter,
                                     .baseModel = m_resolved.baseModel,
                                     .customer = m_request.customer,
                                     .traceparent = span.context.toHeader(),
                                     .patienceMilliseconds = Core::toMilliseconds(timeLeft()),
                                     .avoid = m_ports.avoidance.avoided(m_ports.scheduler.now()),
                                     .isSuspect
                                     = m_ports.quarantine.suspicionOf(m_fingerprint) == Routing::Suspicion::Suspect};
    m_ports.heldGrants.ask(m_grant, m_resolved.adapter, m_owner);
    m_watch = m_ports.owners.watch(m_owner, whileRunning([](Completion &self) {
                                       self.takeOwnerSilence();
                                   }));
    m_ports.router.call<Owner::GrantReply>(m_owner, asked, timeLeft() + LateReplyPeriod,
                                           [weak = weak_from_this(), ports = m_ports, owner = m_owner, grant = m_grant,
                                            span = std::move(span)](const auto &reply) {
                                               ports.tracer.end(span);
                                               const auto self = weak.lock();
                                               const bool isWaitedFor = self != nullptr && !self->m_hasEnded
                                                   && self->m_grant == grant && self->m_grantState == GrantState::Asked;
                                               if (isWaitedFor && reply.has_value()) {
                                                   self->takeGrant(*reply);
                                               } else if (reply.has_value()
                                                          && reply->outcome == Owner::GrantOutcome::Granted) {
                                                   ports.grantReleaser.giveBack(owner, grant);
                                               }
                                           });
}

void Completion::takeGrant(const Owner::GrantReply &reply)
{
    m_ports.owners.unwatch(m_watch);
    if (reply.outcome != Owner::GrantOutcome::Granted) {
        m_grantState = GrantState::None;
        m_ports.heldGrants.release(m_grant);
        m_isViewDoubtful = m_isViewDoubtful || reply.outcome == Owner::GrantOutcome::NotOwner;
        takeFailure({.failure = failureOf(reply.outcome), .reason = reply.reason});
        return;
    }
    m_grantState = GrantState::Held;
    m_granted = reply;
    m_ports.heldGrants.hold(m_grant, m_granted.target);
    startAttempt(Engine::StreamConnection::Any);
}

void Completion::takeOwnerSilence()
{
    if (m_grantState == GrantState::Asked) {
        m_isViewDoubtful = true;
        takeFailure({.failure = Failure::OwnerSilent});
    }
}

// An owner that was silent may have been replaced by now, and one that knew of no target may have found it.
void Completion::askOwnersAnew()
{
    retryAfterPause([](Completion &self) {
        self.rankOwners();
        self.askNextOwner();
    });
}

void Completion::startAttempt(Engine::StreamConnection connection)
{
    const auto *target = m_ports.directory.find(m_granted.target);
    if (target == nullptr) {
        takeFailure({.failure = Failure::TargetGone});
        return;
    }
    m_grantState = GrantState::InUse;
    m_attemptSpan = m_ports.tracer.begin("engine.attempt", m_span.context);
    m_attemptSpan->set("currantbay.target", target->id.value);
    m_attempt = std::make_shared<EngineAttempt>(m_ports.engines, m_assembly, attemptEvents());
    m_attempt->start({.target = target->id, .address = target->address},
                     {.attempt = {m_ports.ids.next("attempt")},
                      .adapter = m_resolved.adapter,
                      .prompt = m_request.prompt,
                      .mostTokens = m_request.maxTokens,
                      .offset = m_assembly.resumeOffset(),
                      .patienceMilliseconds = Core::toMilliseconds(timeLeft()),
                      .connection = connection,
                      .traceparent = m_attemptSpan->context.toHeader()},
                     m_granted.targetIncarnation);
}

void Completion::endAttemptSpan(std::string_view result)
{
    if (m_attemptSpan.has_value()) {
        m_attemptSpan->set("currantbay.result", std::string(result));
        m_ports.tracer.end(*m_attemptSpan);
        m_attemptSpan.reset();
    }
}

EngineAttempt::Events Completion::attemptEvents()
{
    const auto weak = weak_from_this();
    const auto run = [weak](auto act) {
        if (const auto self = weak.lock(); self != nullptr && !self->m_hasEnded) {
            act(*self);
        }
    };
    return {.onHead =
                [run] {
                    run([](Completion &self) {
                        self.takeHead();
                    });
                },
            .onText =
                [run](const std::string &text) {
                    run([&](Completion &self) {
                        self.m_answer->text(text);
                    });
                },
            .onWhole =
                [run] {
                    run([](Completion &self) {
                        self.takeWhole();
                    });
                },
            .onFailure =
                [run](const auto &failure) {
                    run([&](Completion &self) {
                        self.takeFailure(failure);
                    });
                }};
}

void Completion::takeHead()
{
    if (!std::exchange(m_hasBegun, true)) {
        m_answer->begin({.adapter = m_resolved.adapter, .target = m_granted.target});
    }
}

void Completion::takeWhole()
{
    if (!m_hasResumedHere) {
        m_grantState = GrantState::Held;
    }
    m_ports.avoidance.noteSuccess(m_granted.target);
    m_ports.quarantine.noteWhole(m_fingerprint);
    endAttemptSpan("whole");
    m_answer->finish(m_assembly.delivered());
    finish(Outcome::Completed);
}

void Completion::takeFailure(const AttemptFailure &failure)
{
    const auto &rule = Routing::ruleFor(failure.failure);
    const bool hasSurelyNotRun = rule.runClass == Routing::RunClass::SurelyNotRun;
    m_lastFailure = failure;
    endAttemptSpan("failed");
    m_mayHaveRun = m_mayHaveRun || !hasSurelyNotRun;
    if (m_grantState == GrantState::InUse && hasSurelyNotRun && !m_hasResumedHere) {
        m_grantState = GrantState::Held;
    }
    switch (rule.next) {
    case NextStep::AskNextOwnerOfZone:
        std::erase_if(m_ownersToAsk, [](const auto &ranked) {
            return !ranked.isOfOwnZone;
        });
        [[fallthrough]];
    case NextStep::AskNextOwner:
        leaveGrant();
        askNextOwner();
        break;
    case NextStep::Resume:
        examineTarget(failure);
        break;
    case NextStep::AskAgain:
        m_ports.avoidance.noteFailure(m_granted.target, m_ports.scheduler.now());
        retryElsewhere();
        break;
    case NextStep::GiveUp:
        giveUp(failure);
        break;
    }
}

void Completion::examineTarget(const AttemptFailure &failure)
{
    const auto *target = m_ports.directory.find(m_granted.target);
    if (target == nullptr) {
        retryElsewhere();
        return;
    }
    m_ports.engines.status({.target = target->id, .address = target->address},
                           [weak = weak_from_this(), failure](const auto &status) {
                               if (const auto self = weak.lock(); self != nullptr && !self->m_hasEnded) {
                                   self->takeExamined(failure, status);
                               }
                           });
}

void Completion::takeExamined(const AttemptFailure &failure, const std::optional<Engine::EngineStatus> &status)
{
    const bool isAlive = status.has_value() && status->incarnation == m_granted.targetIncarnation;
    const bool isRetryAllowed = m_retries < MostRetries && !m_hasResumedHere;
    if (isAlive && isRetryAllowed && m_ports.retryBudget.tryRetry()) {
        ++m_retries;
        m_hasResumedHere = true;
        Log::write(Log::Event::AnswerResumed, {{"target", m_granted.target.value}, {"reason", failure.reason}});
        startAttempt(Engine::StreamConnection::Fresh);
        return;
    }
    // Silence alone is no evidence of a death: the target may be cut off from this host or stopped for a while.
    const bool isDead = status.has_value() ? !isAlive : failure.failure == Failure::StreamBroken;
    if (isDead) {
        m_ports.quarantine.noteDeath(m_fingerprint,
                                     {.target = m_granted.target, .incarnation = m_granted.targetIncarnation});
    }
    m_ports.avoidance.noteFailure(m_granted.target, m_ports.scheduler.now());
    retryElsewhere();
}

void Completion::retryElsewhere()
{
    leaveGrant();
    if (isQuarantined()) {
        return;
    }
    retryAfterPause([](Completion &self) {
        if (!self.isQuarantined()) {
            self.rankOwners();
            self.askNextOwner();
        }
    });
}

void Completion::retryAfterPause(std::function<void(Completion &)> retry)
{
    if (m_retries >= MostRetries || !m_ports.retryBudget.tryRetry()) {
        giveUp(m_lastFailure);
        return;
    }
    const Core::Duration pause = m_retries == 0 ? Core::Duration() : FirstPause * (1U << (m_retries - 1));
    ++m_retries;
    m_ports.scheduler.runAfter(pause, whileRunning(std::move(retry)));
}

// Ends the request when it is quarantined.
bool Completion::isQuarantined()
{
    if (m_ports.quarantine.suspicionOf(m_fingerprint) != Routing::Suspicion::Refused) {
        return false;
    }
    end(describeQuarantine(m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
    return true;
}

void Completion::giveUp(const AttemptFailure &failure)
{
    // An attempt that still runs has run in part.
    m_mayHaveRun = m_mayHaveRun || m_grantState == GrantState::InUse;
    const bool isOwnersFailure = m_grantState == GrantState::None || m_grantState == GrantState::Asked;
    const auto place = isOwnersFailure ? m_owner.value : m_granted.target.value;
    end(describe(failure, place, m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
}

void Completion::end(Refusal refusal)
{
    m_span.set("currantbay.refusal", refusal.code);
    if (m_hasBegun) {
        Log::write(Log::Event::AnswerCut, {{"reason", refusal.message}});
        m_answer->abort(refusal);
    } else {
        m_answer->refuse(refusal);
    }
    finish(refusal.outcome);
}

void Completion::finish(Outcome outcome)
{
    m_hasEnded = true;
    m_ports.scheduler.cancel(m_deadline);
    leaveGrant();
    m_span.set("currantbay.outcome", std::string(toText(outcome)));
    m_ports.tracer.end(m_span);
    m_ports.metrics.count("currantbay_requests_total{outcome=\"" + std::string(toText(outcome)) + "\"}");
    m_ports.metrics.observe("currantbay_request_seconds", m_ports.scheduler.now() - m_startedAt);
    m_done();
}

void Completion::leaveGrant()
{
    m_ports.owners.unwatch(m_watch);
    if (m_attempt != nullptr) {
        m_attempt->cancel();
    }
    switch (std::exchange(m_grantState, GrantState::None)) {
    case GrantState::None:
        break;
    case GrantState::Asked:
        m_ports.grantReleaser.giveBackToSilent(m_owner, m_grant);
        break;
    case GrantState::Held:
        m_ports.grantReleaser.giveBack(m_owner, m_grant);
        break;
    case GrantState::InUse:
        m_ports.grantReleaser.giveBackWhenIdle({.owner = m_owner,
                                                .grant = m_grant,
                                                .target = m_granted.target,
                                                .targetIncarnation = m_granted.targetIncarnation,
                                                .adapter = m_resolved.adapter});
        break;
    }
}

Core::Duration Completion::timeLeft() const
{
    return std::max(m_startedAt + m_request.timeout - m_ports.scheduler.now(), Core::Duration::zero());
}

Core::Scheduler::Task Completion::whileRunning(std::function<void(Completion &)> task)
{
    return [weak = weak_from_this(), task = std::move(task)] {
        if (const auto self = weak.lock(); self != nullptr && !self->m_hasEnded) {
            task(*self);
        }
    };
}

}
