#include <LibService/ServiceCall.h>

#include <LibCore/Rendezvous.h>
#include <LibService/Refusals.h>
#include <algorithm>

namespace Service {

namespace {

constexpr std::size_t MostTries = 4;
constexpr std::size_t LongestKey = 128;
constexpr auto LongestIdempotentTry = std::chrono::milliseconds(2000);
constexpr auto ShortestTry = std::chrono::milliseconds(1); // A timeout below it would count as none.
constexpr std::uint64_t SecondSeed = 1;

bool isUsableKey(const std::string &key)
{
    return !key.empty() && key.size() <= LongestKey && std::all_of(key.begin(), key.end(), [](char character) {
        return character > ' ' && character <= '~';
    });
}

// Tells a repeat from another request: 128 bits over everything the service would see.
std::string fingerprintOf(const ServiceRequest &request)
{
    std::string whole;
    for (const auto *part : {&request.method, &request.path, &request.contentType, &request.body}) {
        whole += std::to_string(part->size()) + ':' + *part;
    }
    return std::to_string(Core::stableHash(whole)) + '-' + std::to_string(Core::stableHash(whole, SecondSeed));
}

}

ServiceCall::ServiceCall(const ServiceDependencies &ports, ServiceRequest request,
                         std::shared_ptr<ServiceResponse> answer, DoneFunction done)
    : m_ports(ports)
    , m_request(std::move(request))
    , m_answer(std::move(answer))
    , m_done(std::move(done))
{
}

void ServiceCall::start()
{
    m_startedAt = m_ports.scheduler.now();
    m_span = m_ports.tracer.begin("service.call", m_request.traceParent);
    m_span.set("currantbay.route", m_request.route);
    const auto *route = m_ports.tickets.state()->findRoute(m_request.route);
    if (route == nullptr) {
        refuse(unknownRoute(m_request.route));
        return;
    }
    m_route = *route;
    const auto &methods = m_route.idempotentMethods;
    const bool isIdempotent = std::find(methods.begin(), methods.end(), m_request.method) != methods.end();
    m_semantics = isIdempotent ? CallSemantics::Idempotent : CallSemantics::AtMostOnce;
    if (!isIdempotent && !isUsableKey(m_request.key)) {
        refuse(missingKey(m_request.method));
        return;
    }
    m_targets = rankTargets();
    tryNext();
}

void ServiceCall::abandon()
{
    m_isAbandoned = true;
}

// Targets of the own zone come first; a hash spreads the calls over equal ones.
std::vector<ServiceAddress> ServiceCall::rankTargets() const
{
    std::vector<Core::RendezvousCandidate> candidates;
    for (const auto &[id, target] : m_ports.directory.all()) {
        const bool isUsable = target.kind == Platform::MachineKind::Service && target.role == m_route.service
            && target.state == Platform::MachineState::Live;
        if (isUsable) {
            candidates.push_back({.name = id.value});
        }
    }
    std::vector<ServiceAddress> ranked;
    for (auto &name : Core::rankByRendezvous(m_ports.ids.next("call"), candidates)) {
        const Core::TargetId id {std::move(name)};
        ranked.push_back({.target = id, .address = m_ports.directory.find(id)->address});
    }
    std::stable_partition(ranked.begin(), ranked.end(), [this](const auto &service) {
        return m_ports.directory.find(service.target)->zone == m_ports.zone;
    });
    ranked.resize(std::min(ranked.size(), MostTries));
    return ranked;
}

Core::Duration ServiceCall::timeLeft() const
{
    return m_startedAt + m_request.timeout - m_ports.scheduler.now();
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

void ServiceCall::tryNext()
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
    const auto timeout = std::min<Core::Duration>(timeLeft(), LongestIdempotentTry);
    if (timeout < ShortestTry) {
        refuse(lostAnswer("no target answered in time; the last one: " + m_lastError));
        return;
    }
    m_ports.link.send(service, message({m_ports.ids.next("attempt")}, timeout),
                      [self = shared_from_this(), service](const auto &reply) {
                          self->takeIdempotentReply(service, reply);
                      });
}

void ServiceCall::takeIdempotentReply(const ServiceAddress &service, const ServiceReply &reply)
{
    if (reply.state == ServiceReply::State::Responded) {
        deliver(reply.result, ResponseOrigin::Service);
        return;
    }
    m_lastError = "target " + service.target.value + ": " + reply.error;
    if (m_isAbandoned || m_targets.empty()) {
        refuse(lostAnswer(m_lastError));
        return;
    }
    tryNext();
}

void ServiceCall::claim(const ServiceAddress &service)
{
    m_ports.ledger.claim({.key = {.service = m_route.service, .customer = m_request.customer, .key = m_request.key},
                          .fingerprint = fingerprintOf(m_request),
                          .target = service.target,
                          .deadline = m_startedAt + m_request.timeout,
                          .fence = fenceFunction()},
                         [self = shared_from_this(), service](const auto &claim) {
                             self->takeClaim(service, claim);
                         });
}

void ServiceCall::takeClaim(const ServiceAddress &service, const Ledger::ClaimResult &claim)
{
    if (claim.outcome == Ledger::ClaimOutcome::Recorded) {
        if (claim.result.isBodyLeftOut) {
            refuse(resultLeftOut());
        } else {
            deliver(claim.result, ResponseOrigin::Record);
        }
    } else if (claim.outcome != Ledger::ClaimOutcome::Held) {
        refuse(refusalOf(claim));
    } else if (timeLeft() < ShortestTry) {
        m_ports.ledger.abandon(claim.attempt);
        refuse(noTimeLeft());
    } else {
        sendOnce(service, claim.attempt);
    }
}

void ServiceCall::sendOnce(const ServiceAddress &service, const Core::AttemptId &attempt)
{
    if (!m_ports.ledger.beginSending(attempt)) {
        refuse(unsettled("the attempt is no longer held"));
        return;
    }
    m_ports.link.send(service, message(attempt, timeLeft()),
                      [self = shared_from_this(), service, attempt](const auto &reply) {
                          self->takeReply(service, attempt, reply);
                      });
}

void ServiceCall::takeReply(const ServiceAddress &service, const Core::AttemptId &attempt, const ServiceReply &reply)
{
    switch (reply.state) {
    case ServiceReply::State::Responded:
        m_ports.ledger.finish(attempt, reply.result);
        deliver(reply.result, ResponseOrigin::Service);
        return;
    case ServiceReply::State::Fenced:
    case ServiceReply::State::NotSent:
        m_lastError = "target " + service.target.value + ": " + reply.error;
        m_ports.ledger.abandon(attempt);
        tryNext();
        return;
    case ServiceReply::State::Lost:
        takeLostAnswer(service, attempt, reply);
        return;
    }
}

void ServiceCall::takeLostAnswer(const ServiceAddress &service, const Core::AttemptId &attempt,
                                 const ServiceReply &reply)
{
    const auto reason = "target " + service.target.value + ": " + reply.error;
    m_lastError = reason + "; the attempt was fenced before it ran";
    const auto fence = fenceFunction();
    const auto left = timeLeft();
    m_ports.ledger.settle(attempt, fence, [self = shared_from_this()](const Ledger::FenceVerdict &verdict) {
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
        refuse(unsettled(reason));
        return;
    }
    m_ports.scheduler.runAfter(left, [self = shared_from_this(), reason] {
        if (!self->m_hasEnded) {
            self->refuse(unsettled(reason));
        }
    });
}

void ServiceCall::deliver(const Ledger::CallResult &result, ResponseOrigin origin)
{
    m_span.set("currantbay.replayed", origin == ResponseOrigin::Record ? "true" : "false");
    m_answer->deliver(result, origin);
    finish(Front::Outcome::Completed);
}

void ServiceCall::refuse(const Front::Refusal &refusal)
{
    m_span.set("currantbay.refusal", refusal.code);
    m_answer->refuse(refusal);
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
    m_ports.tracer.end(m_span);
    m_ports.metrics.count("currantbay_service_calls_total{outcome=\"" + text + "\"}");
    m_ports.metrics.observe("currantbay_service_call_seconds", m_ports.scheduler.now() - m_startedAt);
    m_done();
}

Ledger::FenceFunction ServiceCall::fenceFunction() const
{
    if (m_route.fencePath.empty()) {
        return nullptr;
    }
    return [ports = m_ports, path = m_route.fencePath](const auto &target, const auto &attempt, auto done) {
        const auto *listed = ports.directory.find(target);
        if (listed == nullptr) {
            ports.scheduler.runAfter({}, [done = std::move(done)] {
                done({});
            });
            return;
        }
        ports.link.fence({.target = target, .address = listed->address}, path, attempt, std::move(done));
    };
}

}
