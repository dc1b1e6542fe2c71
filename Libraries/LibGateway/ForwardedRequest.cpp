#include <LibGateway/ForwardedRequest.h>

#include <LibCore/HttpStatus.h>
#include <LibCore/JsonText.h>
#include <LibGateway/ForwardingLimits.h>
#include <LibGateway/ForwardingTerms.h>
#include <LibGateway/Refusal.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Gateway {

namespace {

// A running replica accepts a connection within milliseconds, even from another zone.
constexpr auto ConnectTimeout = std::chrono::milliseconds(250);

}

ForwardedRequest::ForwardedRequest(ForwardingDependencies dependencies, std::shared_ptr<Net::Exchange> exchange,
                                   CallerRequest request, Routes::MatchedRoute route, RequestAccount account)
    : m_dependencies(std::move(dependencies))
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_fingerprints(fingerprintsOf(m_request))
    , m_route(std::move(route))
    , m_account(std::move(account))
{
    m_buffer.attach(m_dependencies.budget, [this] {
        if (m_transfer != Net::HttpRequestId::None) {
            breakOff("the host needs the memory that the response takes");
        } else {
            dropBuffer();
        }
    });
}

void ForwardedRequest::start()
{
    m_startedAt = m_dependencies.scheduler.now();
    const auto &route = *m_route.route;
    m_deadline = m_startedAt + timeLimitOf(m_request, route);
    m_service = Routes::chooseService(route, m_request.attemptId);
    m_dependencies.retryBudget.countRequest(m_service, m_startedAt);
    m_dependencies.fleet.recordDemand(m_request, m_startedAt);
    decideAdmission();
    if (m_request.lastEventId.has_value()) {
        m_events.setLastId(*m_request.lastEventId);
    }
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->handleCallerDisconnect();
        }
    });
    m_exchange->onReaderState([weak = weak_from_this()](Net::ReaderState state) {
        if (const auto self = weak.lock()) {
            self->handleReaderState(state);
        }
    });
    startDeadlineTimer();
    selectReplica();
}

Core::Duration ForwardedRequest::remaining() const
{
    return m_deadline - m_unreadSince.value_or(m_dependencies.scheduler.now());
}

bool ForwardedRequest::isIdempotent() const
{
    const auto &route = *m_route.route;
    return route.kind == Routes::RequestKind::Safe || (route.kind == Routes::RequestKind::Stream && route.isResumable);
}

bool ForwardedRequest::mayRunAgain() const
{
    return isIdempotent() && m_possibleRuns < std::max(m_route.route->maxAttempts, 1U);
}

void ForwardedRequest::selectReplica()
{
    m_stage = Stage::Selecting;
    m_awaitsReader = m_unreadSince.has_value();
    if (m_awaitsReader) {
        return;
    }
    if (remaining() < MinRemainingTime) {
        retryOrFail(TooLittleTime.reason);
        return;
    }
    if (refuseIfQuarantined()) {
        return;
    }
    const auto now = m_dependencies.scheduler.now();
    const auto *replica = m_dependencies.fleet.choose(m_request, m_service, m_excluded, now);
    if (replica == nullptr) {
        if (isContinued()) {
            selectReplicaLater();
        } else {
            refuse(NoReplicaAvailable.reason, NoReplicaAvailable.retryAfter);
        }
        return;
    }
    m_replica = *replica;
    if (m_request.adapter.empty()) {
        m_version = 0;
        send();
        return;
    }
    if (const auto version = m_dependencies.fleet.residentVersion(replica->id, FleetView::adapterName(m_request));
        version.has_value() && !m_isReportedMissing) {
        m_version = *version;
        send();
        return;
    }
    loadAdapter();
}

void ForwardedRequest::loadAdapter()
{
    if (!mayRequestLoad(loadWait())) {
        refuse("the adapter can't be loaded in time", RetryAfterNoReplica);
        return;
    }
    ++m_loadRequests;
    m_dependencies.metrics.count("currantbay_adapter_requests_total");
    requestLoad();
}

Holding::AdapterRequest ForwardedRequest::adapterRequest(const Core::TargetId &replica) const
{
    return {.replica = replica,
            .model = m_request.model,
            .adapter = m_request.adapter,
            .version = m_dependencies.releases.newestVersion(FleetView::adapterName(m_request)),
            .isReportedMissing = m_isReportedMissing,
            .priority = priority(),
            .isLastTry = m_loadRequests >= MaxLoadRequests};
}

void ForwardedRequest::requestLoad()
{
    m_stage = Stage::Loading;
    ++m_loadCalls;
    m_dependencies.loadAdapter(adapterRequest(m_replica.id),
                               [self = shared_from_this(), call = m_loadCalls](const Holding::AdapterReply &reply) {
                                   if (self->m_stage == Stage::Loading && self->m_loadCalls == call) {
                                       self->handleAdapterReply(reply);
                                   }
                               });
}

void ForwardedRequest::handleAdapterReply(const Holding::AdapterReply &reply)
{
    m_isReportedMissing = false;
    if (reply.outcome == static_cast<std::uint8_t>(Holding::AdapterOutcome::Loading)) {
        awaitLoad(std::chrono::milliseconds(reply.delayMilliseconds));
        return;
    }
    if (reply.outcome != static_cast<std::uint8_t>(Holding::AdapterOutcome::Ready)) {
        m_excluded.insert(m_replica.id);
        m_dependencies.fleet.setUnloadable(m_replica.id, m_dependencies.scheduler.now());
        if (isContinued() && m_loadRequests % MaxLoadRequests == 0) {
            selectReplicaLater();
        } else {
            selectReplica();
        }
        return;
    }
    if (!m_dependencies.fleet.isAvailable(m_replica, m_dependencies.scheduler.now())) {
        // The replica began to drain or restarted while the adapter was being loaded.
        m_excluded.insert(m_replica.id);
        selectReplica();
        return;
    }
    m_version = reply.version;
    m_dependencies.fleet.setResident(m_replica.id, FleetView::adapterName(m_request), reply.version,
                                     m_dependencies.scheduler.now());
    send();
}

bool ForwardedRequest::isQuarantined() const
{
    return m_dependencies.quarantine.suspicionOf(m_fingerprints) == Routing::Suspicion::Refused;
}

bool ForwardedRequest::refuseIfQuarantined()
{
    if (!isQuarantined()) {
        return false;
    }
    m_dependencies.metrics.count("currantbay_quarantined_requests_total");
    refuse(CrashesReplicas.reason, CrashesReplicas.retryAfter);
    return true;
}

void ForwardedRequest::send()
{
    if (refuseIfQuarantined()) {
        return;
    }
    if (!hasValidKey()) {
        refuse("the key of the account was revoked", RetryAfterNoReplica);
        return;
    }
    const auto now = m_dependencies.scheduler.now();
    if (m_arrivals > 0 && !m_dependencies.retryBudget.tryRetry(m_service, m_dependencies.hostCount(), now)) {
        if (isContinued()) {
            selectReplicaLater();
        } else {
            retryOrFail("the retry budget of the service is exhausted");
        }
        return;
    }
    startAttempt();
}

void ForwardedRequest::startAttempt()
{
    m_stage = Stage::Sending;
    ++m_sends;
    ++m_arrivals;
    m_sentAt = m_dependencies.scheduler.now();
    m_lastProgressAt = m_sentAt;
    m_head = {};
    m_hasHead = false;
    m_hasResponseBody = false;
    m_answeringSince.reset();
    m_isHarmless = false;
    m_discardedBytes = 0;
    m_unreadTime = {};
    dropBuffer();
    m_dependencies.fleet.recordAttemptStarted(m_replica.id, m_request, m_sentAt);
    startMeasuring();
    auto outgoing = m_dependencies.protocol.writeRequest(
        m_request,
        {.replica = m_replica.id,
         .address = m_replica.address,
         .adapterVersion = m_version,
         .priority = priority(),
         .account = m_account.name,
         .remaining = remaining(),
         .lastEventId = m_isStreaming ? m_events.lastId() : m_request.lastEventId});
    outgoing.connectTimeout = std::min<Core::Duration>(ConnectTimeout, remaining());
    const auto self = shared_from_this();
    m_transfer = m_dependencies.client.start(
        std::move(outgoing),
        [self](const Net::HttpResult &result) {
            self->m_transfer = Net::HttpRequestId::None;
            self->handleEnd(result);
        },
        [self](long /*status*/, std::string_view bytes) {
            self->handleBody(bytes);
        },
        [self](long status, const Net::HttpFields &fields) {
            self->handleHead(status, fields);
        });
    startIdleTimer();
}

void ForwardedRequest::retryOrFail(std::string_view reason)
{
    const bool hasTime = remaining() >= MinRemainingTime;
    const bool isRunnable = m_possibleRuns == 0 || mayRunAgain();
    if (hasTime && isRunnable && m_sends < MaxSends && m_stage == Stage::Sending) {
        selectReplica();
        return;
    }
    if (hasTime && isContinued()) {
        selectReplicaLater();
        return;
    }
    if (m_possibleRuns == 0) {
        refuse(reason, RetryAfterOverload);
    } else {
        fail(hasTime ? Core::HttpStatus::BadGateway : Core::HttpStatus::GatewayTimeout, reason);
    }
}

void ForwardedRequest::abandonAttempt()
{
    if (m_transfer != Net::HttpRequestId::None) {
        m_dependencies.client.cancel(m_transfer);
        m_transfer = Net::HttpRequestId::None;
        endAttempt();
    }
}

void ForwardedRequest::refuse(std::string_view reason, Core::Duration retryAfter)
{
    if (m_possibleRuns > 0) {
        fail(Core::HttpStatus::BadGateway, reason);
        return;
    }
    Gateway::refuse(*m_exchange, Core::HttpStatus::ServiceUnavailable, reason, std::max(retryAfter, pauseLeft()));
    end(Core::HttpStatus::ServiceUnavailable, reason);
}

Core::Duration ForwardedRequest::pauseLeft() const
{
    return pauseLeftFor(m_request, m_dependencies.fleet, m_service, remaining(), m_dependencies.scheduler.now());
}

void ForwardedRequest::fail(unsigned status, std::string_view reason)
{
    if (m_isStreaming) {
        Log::write(Log::Event::AnswerCut, {{"request", m_request.attemptId}, {"reason", std::string(reason)}});
        m_exchange->abortStream();
        end(status, reason);
        return;
    }
    const nlohmann::json body {
        {"error", {{"message", "it isn't known whether the request ran: " + std::string(reason)}}}};
    m_exchange->respond({.status = status}, Core::toDisplayText(body));
    end(status, reason);
}

void ForwardedRequest::stop()
{
    if (m_stage != Stage::Ended) {
        endUnanswered("this host is stopping");
    }
}

void ForwardedRequest::endUnanswered(std::string_view reason)
{
    if (m_stage == Stage::Sending) {
        ++m_possibleRuns;
    }
    abandonAttempt();
    if (m_possibleRuns == 0) {
        refuse(reason, RetryAfterOverload);
    } else {
        fail(Core::HttpStatus::GatewayTimeout, reason);
    }
}

void ForwardedRequest::handleCallerDisconnect()
{
    if (m_stage == Stage::Ended) {
        return;
    }
    if (m_stage == Stage::Sending) {
        ++m_possibleRuns;
    }
    abandonAttempt();
    end(0, "the caller closed the connection");
}

void ForwardedRequest::end(unsigned status, std::string_view reason)
{
    m_stage = Stage::Ended;
    recordPauseEnded();
    dropBuffer();
    if (m_account.cost > 0 && m_possibleRuns == 0 && m_dependencies.giveBack) {
        m_dependencies.giveBack(m_account);
    }
    if (m_account.name.has_value() && m_dependencies.recordEnd) {
        m_dependencies.recordEnd(*m_account.name, status);
    }
    m_dependencies.scheduler.cancel(m_deadlineTimer);
    m_dependencies.scheduler.cancel(m_idleTimer);
    const auto now = m_dependencies.scheduler.now();
    m_dependencies.metrics.count("currantbay_requests_total{status=\"" + std::to_string(status) + "\"}");
    Log::write(Log::Event::RequestEnded,
               {{"request", m_request.attemptId},
                {"route", m_route.route->name},
                {"adapter", m_request.adapter},
                {"replica", m_replica.id.value},
                {"status", std::to_string(status)},
                {"sends", std::to_string(m_sends)},
                {"loads", std::to_string(m_loadRequests)},
                {"firstMs", std::to_string(m_isStreaming ? Core::toMilliseconds(m_firstEventAt - m_startedAt) : -1)},
                {"promptTokens", std::to_string(m_request.promptTokens)},
                {"pauseMs", std::to_string(Core::toMilliseconds(m_longestPause))},
                {"totalMs", std::to_string(Core::toMilliseconds(now - m_startedAt))},
                {"reason", std::string(reason)}});
}

}
