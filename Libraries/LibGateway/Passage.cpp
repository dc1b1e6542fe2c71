#include <LibGateway/Passage.h>

#include <LibCore/HttpStatus.h>
#include <LibGateway/PassageLimits.h>
#include <LibGateway/Refusal.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Gateway {

namespace {

// A replica that is up answers a connection within milliseconds, also from another zone.
constexpr auto ConnectTimeout = std::chrono::milliseconds(250);
// A request whose adapter isn't there after one and a half times its objective, and at least this, is refused.
constexpr auto LeastLoadWait = std::chrono::milliseconds(900);
// A request that may run again is taken from a silent replica after so many times its objective.
constexpr int SilenceObjectives = 2;
// And a resumable stream after this silence between two events.
constexpr auto StreamSilence = std::chrono::milliseconds(700);
constexpr auto LeastSilence = std::chrono::milliseconds(250);
// When a refused caller should come back: a load is over, or a replica is listed again.
constexpr auto RetryAfterNoReplica = std::chrono::milliseconds(500);

}

Passage::Passage(PassagePorts ports, std::shared_ptr<Net::Exchange> exchange, CallerRequest request,
                 Routes::MatchedRoute route)
    : m_ports(std::move(ports))
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_route(std::move(route))
{
}

void Passage::start()
{
    m_startedAt = m_ports.scheduler.now();
    const auto &route = *m_route.route;
    auto limit = m_request.patience.value_or(route.timeout);
    if (route.timeout > Core::Duration::zero()) {
        limit = std::min(limit, route.timeout);
    }
    m_deadline = m_startedAt + limit;
    m_service = Routes::chooseService(route, m_request.attemptId);
    m_ports.allowance.countRequest(m_service, m_startedAt);
    m_ports.fleet.noteDemand(m_request, m_startedAt);
    if (m_request.lastEventId.has_value()) {
        m_events.setLastId(*m_request.lastEventId);
    }
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerLeft();
        }
    });
    m_deadlineTimer = m_ports.scheduler.runAfter(limit, [self = shared_from_this()] {
        self->m_deadlineTimer = Core::TimerId::None;
        self->takeDeadline();
    });
    proceed();
}

Core::Duration Passage::remaining() const
{
    return m_deadline - m_ports.scheduler.now();
}

bool Passage::mayRunAgain() const
{
    const auto &route = *m_route.route;
    const bool isIdempotent
        = route.kind == Routes::RequestKind::Safe || (route.kind == Routes::RequestKind::Stream && route.isResumable);
    return isIdempotent && m_runs < std::max(route.mostAttempts, 1U);
}

void Passage::proceed()
{
    m_stage = Stage::Choosing;
    if (remaining() < LeastRemaining) {
        retryOrFail("no time is left");
        return;
    }
    const auto now = m_ports.scheduler.now();
    const auto *replica = m_ports.fleet.choose(m_request, m_service, m_excluded, now);
    if (replica == nullptr) {
        refuse("no replica can serve it now", RetryAfterNoReplica);
        return;
    }
    m_replica = *replica;
    if (m_request.adapter.empty()) {
        m_version = 0;
        send();
        return;
    }
    if (const auto version = m_ports.fleet.residentVersion(replica->id, FleetView::adapterName(m_request));
        version.has_value() && !m_isRefuted) {
        m_version = *version;
        send();
        return;
    }
    loadAdapter(m_replica);
}

void Passage::loadAdapter(const Fleet::Replica &replica)
{
    const auto waited = m_ports.scheduler.now() - m_startedAt;
    const auto most = std::max<Core::Duration>(LeastLoadWait, m_route.route->objective * 3 / 2);
    if (m_loads >= MostLoads || (m_loads > 0 && waited > most)) {
        refuse("its adapter can't be loaded now", RetryAfterNoReplica);
        return;
    }
    ++m_loads;
    m_stage = Stage::Loading;
    m_ports.metrics.count("currantbay_adapter_requests_total");
    m_ports.loadAdapter({.replica = replica.id,
                         .model = m_request.model,
                         .adapter = m_request.adapter,
                         .version = m_ports.releases.newest(FleetView::adapterName(m_request)),
                         .isRefuted = m_isRefuted,
                         .priority = m_route.route->priority,
                         .isLastTry = m_loads >= MostLoads},
                        [self = shared_from_this(), load = m_loads](const Holding::AdapterReply &reply) {
                            if (self->m_stage == Stage::Loading && self->m_loads == load) {
                                self->takeAdapterReply(reply);
                            }
                        });
}

void Passage::takeAdapterReply(const Holding::AdapterReply &reply)
{
    m_isRefuted = false;
    if (reply.outcome != static_cast<std::uint8_t>(Holding::AdapterOutcome::Ready)) {
        m_excluded.insert(m_replica.id);
        m_ports.fleet.setUnloadable(m_replica.id, m_ports.scheduler.now());
        proceed();
        return;
    }
    if (!m_ports.fleet.isAvailable(m_replica)) {
        // It began to leave, or started again, while the adapter was being loaded.
        m_excluded.insert(m_replica.id);
        proceed();
        return;
    }
    m_version = reply.version;
    m_ports.fleet.setResident(m_replica.id, FleetView::adapterName(m_request), reply.version, m_ports.scheduler.now());
    send();
}

void Passage::send()
{
    const auto now = m_ports.scheduler.now();
    if (m_sends > 0 && !m_ports.allowance.take(m_service, m_ports.hostCount(), now)) {
        retryOrFail("the budget for repeats is used up");
        return;
    }
    m_stage = Stage::Sending;
    ++m_sends;
    m_sentAt = now;
    m_lastBytesAt = now;
    m_hasHead = false;
    m_isReading = false;
    m_body.clear();
    m_events.dropPartial();
    m_ports.fleet.begin(m_replica.id, m_request);
    auto outgoing
        = m_ports.protocol.writeRequest(m_request,
                                        {.replica = m_replica.id,
                                         .address = m_replica.address,
                                         .adapterVersion = m_version,
                                         .priority = m_route.route->priority,
                                         .remaining = remaining(),
                                         .lastEventId = m_isStreaming ? m_events.lastId() : m_request.lastEventId});
    outgoing.connectTimeout = std::min<Core::Duration>(ConnectTimeout, remaining());
    const auto self = shared_from_this();
    m_transfer = m_ports.client.start(
        std::move(outgoing),
        [self](const Net::HttpResult &result) {
            self->m_transfer = Net::HttpRequestId::None;
            self->takeEnd(result);
        },
        [self](long /*status*/, std::string_view bytes) {
            self->takeBody(bytes);
        },
        [self](long status, const Net::HttpFields &fields) {
            self->takeHead(status, fields);
        });
    watchForSilence();
}

void Passage::watchForSilence()
{
    if (m_runs + 1 >= std::max(m_route.route->mostAttempts, 1U) || !mayRunAgain()) {
        return;
    }
    const auto &route = *m_route.route;
    const bool isBetweenEvents = m_isStreaming && m_lastBytesAt > m_sentAt;
    const auto limit = isBetweenEvents ? Core::Duration(StreamSilence)
                                       : std::max<Core::Duration>(route.objective * SilenceObjectives, LeastSilence);
    const auto due = m_lastBytesAt + limit;
    m_silenceTimer = m_ports.scheduler.runAfter(due - m_ports.scheduler.now(), [self = shared_from_this(), limit] {
        self->m_silenceTimer = Core::TimerId::None;
        if (self->m_stage != Stage::Sending) {
            return;
        }
        if (self->m_ports.scheduler.now() - self->m_lastBytesAt < limit) {
            self->watchForSilence();
            return;
        }
        self->m_ports.client.cancel(self->m_transfer);
        self->m_transfer = Net::HttpRequestId::None;
        ++self->m_runs;
        self->noteOutcome(Placement::AttemptOutcome::Unreachable);
        self->endAttempt();
        self->m_excluded.insert(self->m_replica.id);
        self->retryOrFail("the replica fell silent");
    });
}

void Passage::retryOrFail(std::string_view reason)
{
    const bool hasTime = remaining() >= LeastRemaining;
    const bool isRunnable = m_runs == 0 || mayRunAgain();
    if (hasTime && isRunnable && m_sends < MostSends && m_stage == Stage::Sending) {
        proceed();
        return;
    }
    if (m_runs == 0) {
        refuse(reason, RetryAfterCrowd);
    } else {
        fail(hasTime ? Core::HttpStatus::BadGateway : Core::HttpStatus::GatewayTimeout, reason);
    }
}

void Passage::abandonAttempt()
{
    if (m_transfer != Net::HttpRequestId::None) {
        m_ports.client.cancel(m_transfer);
        m_transfer = Net::HttpRequestId::None;
        endAttempt();
    }
}

void Passage::refuse(std::string_view reason, Core::Duration retryAfter)
{
    if (m_runs > 0) {
        fail(Core::HttpStatus::BadGateway, reason);
        return;
    }
    Gateway::refuse(*m_exchange, Core::HttpStatus::ServiceUnavailable, reason, retryAfter);
    end(Core::HttpStatus::ServiceUnavailable, reason);
}

void Passage::fail(unsigned status, std::string_view reason)
{
    if (m_isStreaming) {
        Log::write(Log::Event::AnswerCut, {{"request", m_request.attemptId}, {"reason", std::string(reason)}});
        m_exchange->abortStream();
        end(status, reason);
        return;
    }
    const nlohmann::json body {
        {"error", {{"message", "it isn't known whether the request ran: " + std::string(reason)}}}};
    m_exchange->respond({.status = status}, body.dump());
    end(status, reason);
}

void Passage::takeDeadline()
{
    if (m_stage == Stage::Ended) {
        return;
    }
    if (m_stage == Stage::Sending) {
        ++m_runs;
        if (!m_hasHead) {
            noteOutcome(Placement::AttemptOutcome::Failed);
        }
    }
    abandonAttempt();
    if (m_runs == 0) {
        refuse("its time is over", RetryAfterCrowd);
    } else {
        fail(Core::HttpStatus::GatewayTimeout, "its time is over");
    }
}

void Passage::callerLeft()
{
    if (m_stage == Stage::Ended) {
        return;
    }
    abandonAttempt();
    end(0, "the caller left");
}

void Passage::end(unsigned status, std::string_view reason)
{
    m_stage = Stage::Ended;
    m_ports.scheduler.cancel(m_deadlineTimer);
    m_ports.scheduler.cancel(m_silenceTimer);
    const auto now = m_ports.scheduler.now();
    m_ports.metrics.count("currantbay_requests_total{status=\"" + std::to_string(status) + "\"}");
    Log::write(Log::Event::RequestEnded,
               {{"request", m_request.attemptId},
                {"route", m_route.route->name},
                {"adapter", m_request.adapter},
                {"replica", m_replica.id.value},
                {"status", std::to_string(status)},
                {"sends", std::to_string(m_sends)},
                {"loads", std::to_string(m_loads)},
                {"firstMs", std::to_string(m_isStreaming ? Core::toMilliseconds(m_firstEventAt - m_startedAt) : -1)},
                {"totalMs", std::to_string(Core::toMilliseconds(now - m_startedAt))},
                {"reason", std::string(reason)}});
}

}
