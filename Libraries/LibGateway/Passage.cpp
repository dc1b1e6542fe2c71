#include <LibGateway/Passage.h>

#include <LibCore/HttpStatus.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Gateway {

namespace {

// A replica that is up answers a connection within milliseconds, also from another zone.
constexpr auto ConnectTimeout = std::chrono::milliseconds(250);
// Arrivals of one request at replicas, rejected ones included.
constexpr unsigned MostSends = 4;
// Requests to holders for one request's adapter.
constexpr unsigned MostLoads = 3;
// A request whose adapter isn't there after one and a half times its objective, and at least this, is refused.
constexpr auto LeastLoadWait = std::chrono::milliseconds(900);
// A request that may run again is taken from a silent replica after so many times its objective.
constexpr int SilenceObjectives = 2;
// And a resumable stream after this silence between two events.
constexpr auto StreamSilence = std::chrono::milliseconds(700);
constexpr auto LeastSilence = std::chrono::milliseconds(250);
// An attempt with less time than this left isn't begun.
constexpr auto LeastRemaining = std::chrono::milliseconds(15);
// When a refused caller should come back: after a replica's queue has moved on, or a load is over.
constexpr auto RetryAfterCrowd = std::chrono::milliseconds(200);
constexpr auto RetryAfterNoReplica = std::chrono::milliseconds(500);

std::string secondsText(Core::Duration duration)
{
    return std::to_string(std::chrono::duration<double>(duration).count());
}

}

Passage::Passage(PassagePorts ports, std::shared_ptr<Net::Exchange> exchange, CallerRequest request,
                 Routes::MatchedRoute route)
    : m_ports(std::move(ports))
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_route(std::move(route))
{
}

bool Passage::isOpen() const
{
    return m_stage != Stage::Ended;
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
                         .version = m_ports.fleet.newestVersion(FleetView::adapterName(m_request)),
                         .isRefuted = m_isRefuted,
                         .priority = m_route.route->priority},
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
        self->m_runState = RunState::MayHaveRun;
        self->noteOutcome(Placement::AttemptOutcome::Unreachable);
        self->endAttempt();
        self->m_excluded.insert(self->m_replica.id);
        self->retryOrFail("the replica fell silent");
    });
}

bool Passage::isUsableHead() const
{
    const bool isOwn = m_request.attemptId.empty() || m_head.attemptId == m_request.attemptId;
    return isOwn && m_head.isVouchedFor && !m_head.isEncoded;
}

void Passage::takeHead(long status, const Net::HttpFields &fields)
{
    m_head = m_ports.protocol.readHead(status, fields);
    m_hasHead = true;
    m_lastBytesAt = m_ports.scheduler.now();
}

void Passage::takeBody(std::string_view bytes)
{
    m_lastBytesAt = m_ports.scheduler.now();
    if (m_stage != Stage::Sending) {
        return;
    }
    if (!m_isReading) {
        m_isReading = true;
        m_ports.fleet.firstAnswer(m_replica.id, m_request);
    }
    const bool isStream = m_head.isEventStream && m_head.status == Core::HttpStatus::Ok && isUsableHead();
    if (!isStream) {
        m_body += bytes;
        return;
    }
    std::string events;
    const auto order = m_events.take(bytes, events);
    if (!events.empty()) {
        if (!m_isStreaming) {
            m_isStreaming = true;
            m_firstEventAt = m_lastBytesAt;
            m_exchange->beginStream(
                {.status = static_cast<unsigned>(m_head.status), .contentType = {}, .headers = m_head.fields});
        }
        m_exchange->send(events);
    }
    if (order == EventSplitter::Order::Broken) {
        m_ports.client.cancel(m_transfer);
        m_transfer = Net::HttpRequestId::None;
        takeBreak({.error = "an event is missing"});
    }
}

void Passage::takeEnd(const Net::HttpResult &result)
{
    if (m_stage != Stage::Sending) {
        return;
    }
    if (!result.isComplete()) {
        takeBreak(result);
    } else if (m_head.hasNotRun) {
        takeRejection(result);
    } else {
        takeAnswer(result);
    }
}

void Passage::noteOutcome(Placement::AttemptOutcome outcome)
{
    if (m_ports.fleet.health().note(m_replica.id, m_replica.zone, outcome, m_ports.scheduler.now())) {
        Log::write(Log::Event::ReplicaAvoided,
                   {{"request", m_request.attemptId}, {"replica", m_replica.id.value}, {"zone", m_replica.zone.value}});
    }
}

void Passage::endAttempt()
{
    m_ports.scheduler.cancel(m_silenceTimer);
    m_silenceTimer = Core::TimerId::None;
    m_ports.fleet.end(m_replica.id, m_request, m_isReading);
}

void Passage::takeRejection(const Net::HttpResult &result)
{
    endAttempt();
    Log::write(Log::Event::AttemptFailed,
               {{"request", m_request.attemptId},
                {"replica", m_replica.id.value},
                {"reason", "rejected with status " + std::to_string(result.status)}});
    const auto name = FleetView::adapterName(m_request);
    const bool isMisdirected = result.status == Core::HttpStatus::MisdirectedRequest;
    if (!name.empty() && !m_isRefuted) {
        m_ports.fleet.setAbsent(m_replica.id, name, m_ports.scheduler.now());
        m_isRefuted = true;
    } else if (isMisdirected || m_sends > 1) {
        m_excluded.insert(m_replica.id);
        m_isRefuted = false;
    }
    if (m_request.adapter.empty()) {
        m_excluded.insert(m_replica.id);
    }
    if (m_sends >= MostSends) {
        refuse("its replicas are full", RetryAfterCrowd);
        return;
    }
    if (m_isRefuted && m_stage != Stage::Ended && m_loads < MostLoads) {
        loadAdapter(m_replica);
        return;
    }
    proceed();
}

void Passage::takeBreak(const Net::HttpResult &result)
{
    const bool mayHaveRun = result.mayHaveBeenSent;
    noteOutcome(mayHaveRun ? Placement::AttemptOutcome::Failed : Placement::AttemptOutcome::Unreachable);
    endAttempt();
    Log::write(Log::Event::AttemptFailed,
               {{"request", m_request.attemptId},
                {"replica", m_replica.id.value},
                {"mayHaveRun", mayHaveRun ? "yes" : "no"},
                {"reason", result.error}});
    m_excluded.insert(m_replica.id);
    if (mayHaveRun) {
        ++m_runs;
        m_runState = RunState::MayHaveRun;
    }
    retryOrFail(result.error);
}

void Passage::retryOrFail(std::string_view reason)
{
    const bool hasTime = remaining() >= LeastRemaining;
    const bool isRunnable = m_runState == RunState::NotRun || mayRunAgain();
    if (hasTime && isRunnable && m_sends < MostSends && m_stage == Stage::Sending) {
        proceed();
        return;
    }
    if (m_runState == RunState::NotRun) {
        refuse(reason, RetryAfterCrowd);
    } else {
        fail(hasTime ? Core::HttpStatus::BadGateway : Core::HttpStatus::GatewayTimeout, reason);
    }
}

void Passage::takeAnswer(const Net::HttpResult &result)
{
    ++m_runs;
    m_runState = RunState::MayHaveRun;
    const bool isFailure = m_head.status >= Core::HttpStatus::InternalServerError;
    if (!isUsableHead() || (m_isStreaming && m_head.status != Core::HttpStatus::Ok)) {
        noteOutcome(Placement::AttemptOutcome::Failed);
        endAttempt();
        m_excluded.insert(m_replica.id);
        Log::write(Log::Event::WrongAnswerDropped,
                   {{"request", m_request.attemptId},
                    {"replica", m_replica.id.value},
                    {"status", std::to_string(result.status)}});
        retryOrFail("the replica's answer isn't one to this request");
        return;
    }
    noteOutcome(isFailure ? Placement::AttemptOutcome::Failed : Placement::AttemptOutcome::Served);
    endAttempt();
    if (isFailure && !m_isStreaming && mayRunAgain() && remaining() > LeastRemaining && m_sends < MostSends) {
        m_excluded.insert(m_replica.id);
        proceed();
        return;
    }
    passAnswer(std::move(m_body));
}

void Passage::passAnswer(std::string body)
{
    const auto status = static_cast<unsigned>(m_head.status);
    if (m_isStreaming) {
        m_exchange->send(m_events.partial());
        m_exchange->endStream();
    } else {
        m_exchange->respond({.status = status, .contentType = {}, .headers = m_head.fields}, std::move(body));
    }
    end(status, "answered");
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
    if (m_runState != RunState::NotRun) {
        fail(Core::HttpStatus::BadGateway, reason);
        return;
    }
    const nlohmann::json body {{"error", {{"message", "the request did not run: " + std::string(reason)}}}};
    m_exchange->respond(
        {.status = Core::HttpStatus::ServiceUnavailable, .headers = {{"Retry-After", secondsText(retryAfter)}}},
        body.dump());
    end(Core::HttpStatus::ServiceUnavailable, reason);
}

void Passage::fail(unsigned status, std::string_view reason)
{
    if (m_isStreaming) {
        Log::write(Log::Event::AnswerCut, {{"request", m_request.attemptId}, {"reason", std::string(reason)}});
        m_exchange->cutStream();
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
        m_runState = RunState::MayHaveRun;
        if (!m_hasHead) {
            noteOutcome(Placement::AttemptOutcome::Failed);
        }
    }
    abandonAttempt();
    if (m_runState == RunState::NotRun) {
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
