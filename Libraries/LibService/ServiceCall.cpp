#include <LibService/ServiceCall.h>

#include <LibCore/Rendezvous.h>
#include <LibService/Refusals.h>
#include <algorithm>

namespace Service {

namespace {

constexpr std::size_t MaxAttempts = 4;
constexpr std::size_t MaxKeyLength = 128;
constexpr auto IdempotentAttemptTimeout = std::chrono::milliseconds(2000);
constexpr auto MinAttemptTimeout = std::chrono::milliseconds(1); // A shorter one would be rounded to zero: no timeout.
constexpr std::uint64_t SecondSeed = 1;

bool isValidKey(const std::string &key)
{
    return !key.empty() && key.size() <= MaxKeyLength && std::all_of(key.begin(), key.end(), [](char character) {
        return character > ' ' && character <= '~';
    });
}

// A 128-bit hash of everything that the service would receive. It tells a retry from another request with the same key.
std::string fingerprintOf(const ServiceRequest &request)
{
    std::string encoded;
    for (const auto *part : {&request.method, &request.path, &request.contentType, &request.body}) {
        encoded += std::to_string(part->size()) + ':' + *part;
    }
    return std::to_string(Core::stableHash(encoded)) + '-' + std::to_string(Core::stableHash(encoded, SecondSeed));
}

}

ServiceCall::ServiceCall(const ServiceDependencies &dependencies, ServiceRequest request,
                         std::shared_ptr<ServiceResponse> response, DoneFunction done)
    : m_dependencies(dependencies)
    , m_request(std::move(request))
    , m_response(std::move(response))
    , m_done(std::move(done))
{
}

void ServiceCall::start()
{
    m_startedAt = m_dependencies.scheduler.now();
    m_span = m_dependencies.tracer.begin("service.call", m_request.traceParent);
    m_span.set("currantbay.route", m_request.route);
    const auto *route = m_dependencies.tickets.state()->findRoute(m_request.route);
    if (route == nullptr) {
        refuse(unknownRoute(m_request.route));
        return;
    }
    m_route = *route;
    const auto &methods = m_route.idempotentMethods;
    const bool isIdempotent = std::find(methods.begin(), methods.end(), m_request.method) != methods.end();
    m_semantics = isIdempotent ? CallSemantics::Idempotent : CallSemantics::AtMostOnce;
    if (!isIdempotent && !isValidKey(m_request.key)) {
        refuse(missingKey(m_request.method));
        return;
    }
    m_targets = rankTargets();
    tryNextTarget();
}

void ServiceCall::abandon()
{
    m_isAbandoned = true;
}

// Targets in the own zone come first. Targets of equal rank are ordered by a hash of a new call ID, which spreads the
// calls over them.
std::vector<ServiceAddress> ServiceCall::rankTargets() const
{
    std::vector<Core::RendezvousCandidate> candidates;
    for (const auto &[id, target] : m_dependencies.directory.all()) {
        const bool isUsable = target.kind == Platform::MachineKind::Service && target.role == m_route.service
            && target.state == Platform::MachineState::Live;
        if (isUsable) {
            candidates.push_back({.name = id.value});
        }
    }
    std::vector<ServiceAddress> ranked;
    for (auto &name : Core::rankByRendezvous(m_dependencies.ids.next("call"), candidates)) {
        const Core::TargetId id {std::move(name)};
        ranked.push_back({.target = id, .address = m_dependencies.directory.find(id)->address});
    }
    std::stable_partition(ranked.begin(), ranked.end(), [this](const auto &service) {
        return m_dependencies.directory.find(service.target)->zone == m_dependencies.zone;
    });
    ranked.resize(std::min(ranked.size(), MaxAttempts));
    return ranked;
}

Core::Duration ServiceCall::timeLeft() const
{
    return m_startedAt + m_request.timeout - m_dependencies.scheduler.now();
}

ServiceMessage ServiceCall::message(const Core::AttemptId &attempt, Core::Duration timeout) const
{
    return {.method = m_request.method,
            .path = m_request.path,
            .contentType = m_request.contentType,
            .body = m_request.body,
            .key = m_request.key,
            .attempt = attempt,
            .traceparent = m_span.context.toHeader(),
            .semantics = m_semantics,
            .timeout = timeout};
}

void ServiceCall::tryNextTarget()
{
    if (m_targets.empty()) {
        refuseNoTarget();
        return;
    }
    const auto service = m_targets.front();
    m_targets.erase(m_targets.begin());
    if (m_semantics == CallSemantics::Idempotent) {
        sendIdempotent(service);
    } else {
        claim(service);
    }
}

void ServiceCall::sendIdempotent(const ServiceAddress &service)
{
    const auto timeout = std::min<Core::Duration>(timeLeft(), IdempotentAttemptTimeout);
    if (timeout < MinAttemptTimeout) {
        refuse(lostResponse("no target responded in time; last error: " + m_lastError));
        return;
    }
    m_dependencies.link.send(service, message({m_dependencies.ids.next("attempt")}, timeout),
                             [self = shared_from_this(), service](const auto &reply) {
                                 self->handleIdempotentReply(service, reply);
                             });
}

void ServiceCall::handleIdempotentReply(const ServiceAddress &service, const ServiceReply &reply)
{
    if (reply.state == ServiceReply::State::Responded) {
        deliver(reply.result, ResponseOrigin::Service);
        return;
    }
    m_lastError = "target " + service.target.value + ": " + reply.error;
    if (m_isAbandoned || m_targets.empty()) {
        refuse(lostResponse(m_lastError));
        return;
    }
    tryNextTarget();
}

void ServiceCall::claim(const ServiceAddress &service)
{
    m_dependencies.ledger.claim(
        {.key = {.service = m_route.service, .customer = m_request.customer, .key = m_request.key},
         .fingerprint = fingerprintOf(m_request),
         .target = service.target,
         .deadline = m_startedAt + m_request.timeout,
         .fence = fenceFunction()},
        [self = shared_from_this(), service](const auto &claim) {
            self->handleClaim(service, claim);
        });
}

void ServiceCall::handleClaim(const ServiceAddress &service, const Ledger::ClaimResult &claim)
{
    if (claim.outcome == Ledger::ClaimOutcome::Recorded) {
        if (claim.result.isBodyOmitted) {
            refuse(resultNotStored());
        } else {
            deliver(claim.result, ResponseOrigin::Record);
        }
    } else if (claim.outcome != Ledger::ClaimOutcome::Held) {
        refuse(refusalOf(claim));
    } else if (timeLeft() < MinAttemptTimeout) {
        m_dependencies.ledger.abandon(claim.attempt);
        refuse(noTimeLeft());
    } else {
        sendOnce(service, claim.attempt);
    }
}

void ServiceCall::sendOnce(const ServiceAddress &service, const Core::AttemptId &attempt)
{
    if (!m_dependencies.ledger.beginSending(attempt)) {
        refuse(unresolved("the attempt is no longer held"));
        return;
    }
    m_dependencies.link.send(service, message(attempt, timeLeft()),
                             [self = shared_from_this(), service, attempt](const auto &reply) {
                                 self->handleReply(service, attempt, reply);
                             });
}

void ServiceCall::handleReply(const ServiceAddress &service, const Core::AttemptId &attempt, const ServiceReply &reply)
{
    switch (reply.state) {
    case ServiceReply::State::Responded:
        m_dependencies.ledger.finish(attempt, reply.result);
        deliver(reply.result, ResponseOrigin::Service);
        return;
    case ServiceReply::State::Fenced:
    case ServiceReply::State::NotSent:
        m_lastError = "target " + service.target.value + ": " + reply.error;
        m_dependencies.ledger.abandon(attempt);
        tryNextTarget();
        return;
    case ServiceReply::State::Lost:
        handleLostResponse(service, attempt, reply);
        return;
    }
}

void ServiceCall::handleLostResponse(const ServiceAddress &service, const Core::AttemptId &attempt,
                                     const ServiceReply &reply)
{
    const auto reason = "target " + service.target.value + ": " + reply.error;
    m_lastError = reason + "; the attempt was fenced before it ran";
    const auto fence = fenceFunction();
    const auto left = timeLeft();
    m_dependencies.ledger.resolve(attempt, fence, [self = shared_from_this()](const Ledger::FenceVerdict &verdict) {
        if (self->m_hasEnded) {
            return;
        }
        if (verdict.state == Ledger::FenceVerdict::State::Ran) {
            self->deliver(verdict.result, ResponseOrigin::Service);
        } else {
            self->refuseNoTarget();
        }
    });
    if (!fence || left <= Core::Duration::zero()) {
        refuse(unresolved(reason));
        return;
    }
    m_dependencies.scheduler.runAfter(left, [self = shared_from_this(), reason] {
        if (!self->m_hasEnded) {
            self->refuse(unresolved(reason));
        }
    });
}

void ServiceCall::deliver(const Ledger::CallResult &result, ResponseOrigin origin)
{
    m_span.set("currantbay.replayed", origin == ResponseOrigin::Record ? "true" : "false");
    m_response->deliver(result, origin);
    finish(Front::Outcome::Completed);
}

void ServiceCall::refuse(const Front::Refusal &refusal)
{
    m_span.set("currantbay.refusal", refusal.code);
    m_response->refuse(refusal);
    finish(refusal.outcome);
}

void ServiceCall::refuseNoTarget()
{
    refuse(noTarget(m_route.service, m_lastError));
}

void ServiceCall::finish(Front::Outcome outcome)
{
    m_hasEnded = true;
    const std::string text(Front::toText(outcome));
    m_span.set("currantbay.outcome", text);
    m_dependencies.tracer.end(m_span);
    m_dependencies.metrics.count("currantbay_service_calls_total{outcome=\"" + text + "\"}");
    m_dependencies.metrics.observe("currantbay_service_call_seconds", m_dependencies.scheduler.now() - m_startedAt);
    m_done();
}

Ledger::FenceFunction ServiceCall::fenceFunction() const
{
    if (m_route.fencePath.empty()) {
        return nullptr;
    }
    return
        [dependencies = m_dependencies, path = m_route.fencePath](const auto &target, const auto &attempt, auto done) {
            const auto *listed = dependencies.directory.find(target);
            if (listed == nullptr) {
                dependencies.scheduler.runAfter({}, [done = std::move(done)] {
                    done({});
                });
                return;
            }
            dependencies.link.fence({.target = target, .address = listed->address}, path, attempt, std::move(done));
        };
}

}
