// Handling of the replica's response to a forwarded request.
#include <LibGateway/ForwardedRequest.h>

#include <LibCore/HttpStatus.h>
#include <LibGateway/ForwardingLimits.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Gateway {

namespace {

// Far above the responses of replicas. A faulty replica may send bytes without end.
constexpr std::size_t MaxBodyBytes = 16U << 20U;
// A body that isn't used, such as that of a rejection, is read for so long to let the replica finish.
constexpr std::size_t MaxDiscardedBytes = 64U << 10U;
// A replica that crashes by a request does so as it begins its answer.
constexpr auto HarmlessAnswerTime = std::chrono::milliseconds(250);

}

bool ForwardedRequest::isHeadForRequest() const
{
    return m_request.attemptId.empty() || m_head.attemptId == m_request.attemptId;
}

bool ForwardedRequest::isUsableHead() const
{
    return isHeadForRequest() && m_head.hasServerStamp && !m_head.isEncoded;
}

bool ForwardedRequest::isRejection() const
{
    return m_head.hasNotRun && isHeadForRequest();
}

bool ForwardedRequest::isUnusableResponse() const
{
    const bool isFalsePromise = m_head.readsAsNotRun && !isIdempotent();
    return !isUsableHead() || isFalsePromise || (m_isStreaming && !isEventStream());
}

bool ForwardedRequest::isEventStream() const
{
    return m_head.isEventStream && m_head.status == Core::HttpStatus::Ok && isUsableHead();
}

std::string_view ForwardedRequest::streamDefect() const
{
    if (!isEventStream() || m_request.method == "HEAD") {
        return {};
    }
    if (m_events.isInsideEvent()) {
        return "the event stream ended inside an event";
    }
    const bool isWhole = m_answeringSince.has_value() || m_head.isFramed;
    return isWhole ? "" : "the event stream ended before its first event";
}

void ForwardedRequest::handleHead(long status, const Net::HttpFields &fields)
{
    m_head = m_dependencies.protocol.readHead(status, fields);
    m_hasHead = true;
    m_lastProgressAt = m_dependencies.scheduler.now();
    if (isHeadForRequest()) {
        recordAnnouncements();
    }
    const bool mayBeLong = isEventStream() || !m_head.hasLength;
    m_buffer.setEnd(mayBeLong ? Net::BufferEnd::Unknown : Net::BufferEnd::Known);
    // The body of such a response is no use, and may have no end.
    if (m_stage == Stage::Sending && !isRejection() && isUnusableResponse()) {
        m_dependencies.client.cancel(m_transfer);
        m_transfer = Net::HttpRequestId::None;
        dropResponse();
    }
}

void ForwardedRequest::recordAnnouncements()
{
    const auto now = m_dependencies.scheduler.now();
    if (m_head.isLeaving && m_dependencies.fleet.recordLeaving(m_replica, now)) {
        m_dependencies.metrics.count("currantbay_replicas_leaving_total");
        Log::write(Log::Event::ReplicaLeaving, {{"request", m_request.attemptId}, {"replica", m_replica.id.value}});
    }
    recordLimit();
    if (!m_head.pause.has_value()) {
        return;
    }
    const auto [hasBegun, added] = m_dependencies.fleet.recordPause(m_replica, *m_head.pause, now);
    m_dependencies.metrics.count("currantbay_replica_pause_milliseconds_total",
                                 static_cast<std::uint64_t>(Core::toMilliseconds(added)));
    if (hasBegun) {
        m_dependencies.metrics.count("currantbay_replica_pauses_total");
        Log::write(Log::Event::ReplicaPaused,
                   {{"request", m_request.attemptId},
                    {"replica", m_replica.id.value},
                    {"milliseconds", std::to_string(Core::toMilliseconds(added))}});
    }
}

void ForwardedRequest::recordLimit()
{
    using Change = Placement::RequestLimit::Change;
    if (!m_head.requestLimit.has_value() && !m_head.namesNoLimit) {
        return;
    }
    const auto now = m_dependencies.scheduler.now();
    const auto change = m_dependencies.fleet.recordLimit(m_replica, m_head.requestLimit, m_sentAt, now);
    if (change == Change::Begun) {
        m_dependencies.metrics.count("currantbay_replica_limits_total");
        Log::write(Log::Event::ReplicaLimited,
                   {{"request", m_request.attemptId},
                    {"replica", m_replica.id.value},
                    {"perSecond", std::to_string(*m_head.requestLimit)}});
    } else if (change == Change::Ended) {
        Log::write(Log::Event::ReplicaLimitEnded, {{"request", m_request.attemptId}, {"replica", m_replica.id.value}});
    }
}

void ForwardedRequest::handleBody(std::string_view bytes)
{
    if (m_stage != Stage::Sending) {
        return;
    }
    if (isRejection()) {
        discardBody(bytes);
        return;
    }
    m_dependencies.crashes.recordActivity(m_replica);
    if (!m_hasResponseBody) {
        m_hasResponseBody = true;
        m_dependencies.fleet.recordResponseStarted(m_replica.id, m_request);
    }
    if (isEventStream()) {
        forwardEvents(bytes);
        return;
    }
    m_lastProgressAt = m_dependencies.scheduler.now();
    if (m_body.size() + bytes.size() > MaxBodyBytes) {
        breakOff("the body of the response is too large");
    } else if (reserveBuffer(m_body.size() + bytes.size())) {
        m_body += bytes;
    }
}

void ForwardedRequest::discardBody(std::string_view bytes)
{
    m_discardedBytes += bytes.size();
    if (m_discardedBytes > MaxDiscardedBytes) {
        m_dependencies.client.cancel(m_transfer);
        m_transfer = Net::HttpRequestId::None;
        recordOutcome(Placement::AttemptOutcome::Failed);
        handleRejection({.status = m_head.status});
    }
}

bool ForwardedRequest::reserveBuffer(std::size_t bytes)
{
    if (m_buffer.resize(bytes)) {
        return true;
    }
    breakOff("the host has no memory left for the response");
    return false;
}

void ForwardedRequest::dropBuffer()
{
    m_body = {};
    m_events.dropPartial();
    m_buffer.release();
}

void ForwardedRequest::forwardEvents(std::string_view bytes)
{
    std::string events;
    const auto previousId = m_events.lastId();
    const auto sequence = m_events.split(bytes, events);
    if (!events.empty()) {
        const auto lastId = m_events.lastId().value_or(0);
        measureEvents(lastId > previousId.value_or(lastId) ? lastId - *previousId : 1);
        m_lastProgressAt = m_dependencies.scheduler.now();
        if (!m_answeringSince.has_value()) {
            m_answeringSince = m_lastProgressAt;
            recordResponse();
        }
        if (!isUnproven()) {
            recordHarmless();
        }
        if (m_isStreaming) {
            m_longestPause = std::max(m_longestPause, m_lastProgressAt - m_lastEventAt);
        }
        m_lastEventAt = m_lastProgressAt;
        if (!m_isStreaming) {
            m_isStreaming = true;
            m_firstEventAt = m_lastProgressAt;
            m_dependencies.scheduler.cancel(m_idleTimer);
            startIdleTimer(); // Its timeout depends on whether the stream has begun.
            m_exchange->beginStream(
                {.status = static_cast<unsigned>(m_head.status), .contentType = {}, .headers = m_head.fields});
        }
        m_exchange->send(events);
    }
    if (m_stage != Stage::Sending) {
        return;
    }
    if (sequence == EventSplitter::Sequence::Gap) {
        breakOff("the event stream skipped an event");
    } else if (sequence == EventSplitter::Sequence::TooLong) {
        breakOff("an event of the stream has no end");
    } else {
        reserveBuffer(m_events.partial().size());
    }
}

void ForwardedRequest::breakOff(std::string_view reason)
{
    m_dependencies.client.cancel(m_transfer);
    m_transfer = Net::HttpRequestId::None;
    dropBuffer();
    handleInterruption({.error = std::string(reason)});
}

void ForwardedRequest::handleEnd(const Net::HttpResult &result)
{
    if (m_stage != Stage::Sending) {
        return;
    }
    if (!result.isComplete()) {
        handleBreak(result);
    } else if (isRejection()) {
        handleRejection(result);
    } else if (const auto defect = streamDefect(); !defect.empty()) {
        handleBreak({.error = std::string(defect)});
    } else {
        handleResponse();
    }
}

void ForwardedRequest::handleBreak(const Net::HttpResult &result)
{
    if (wasUnread()) {
        handleUnreadBreak(result);
        return;
    }
    if (result.mayHaveBeenSent && !result.isTimedOut) {
        m_dependencies.crashes.recordBreak(
            m_replica, isUnproven() ? ReplicaCrashes::Role::Suspect : ReplicaCrashes::Role::Bystander, m_fingerprints);
    }
    handleInterruption(result);
}

bool ForwardedRequest::isUnproven() const
{
    return !m_answeringSince.has_value() || m_dependencies.scheduler.now() - *m_answeringSince < HarmlessAnswerTime;
}

void ForwardedRequest::recordHarmless()
{
    if (std::exchange(m_isHarmless, true)) {
        return;
    }
    m_dependencies.quarantine.recordCompletion(m_fingerprints);
}

void ForwardedRequest::recordOutcome(Placement::AttemptOutcome outcome)
{
    if (m_dependencies.fleet.recordOutcome(m_replica, outcome, m_sentAt, m_dependencies.scheduler.now())) {
        Log::write(Log::Event::ReplicaAvoided,
                   {{"request", m_request.attemptId}, {"replica", m_replica.id.value}, {"zone", m_replica.zone.value}});
    }
}

void ForwardedRequest::recordResponse()
{
    m_dependencies.fleet.recordResponse(
        m_replica, {.promptTokens = m_request.promptTokens, .sentAt = m_sentAt, .isAfterLoad = m_loadRequests > 0},
        m_dependencies.scheduler.now());
}

void ForwardedRequest::endAttempt()
{
    m_dependencies.scheduler.cancel(m_idleTimer);
    m_idleTimer = Core::TimerId::None;
    m_dependencies.fleet.recordAttemptEnded(m_replica.id, m_request, m_hasResponseBody);
}

void ForwardedRequest::handleRejection(const Net::HttpResult &result)
{
    endAttempt();
    Log::write(Log::Event::AttemptFailed,
               {{"request", m_request.attemptId},
                {"replica", m_replica.id.value},
                {"reason", "rejected with status " + std::to_string(result.status)}});
    const auto name = FleetView::adapterName(m_request);
    const bool isMisdirected = result.status == Core::HttpStatus::MisdirectedRequest;
    // A pause keeps requests away by itself.
    if (result.status == Core::HttpStatus::ServiceUnavailable && !m_head.pause.has_value()) {
        m_dependencies.fleet.recordNoRoom(m_replica.id, m_request, m_dependencies.scheduler.now());
    }
    if (!m_dependencies.fleet.isAvailable(m_replica, m_dependencies.scheduler.now())) {
        // Its rejection says nothing about its adapters.
        m_excluded.insert(m_replica.id);
        m_isReportedMissing = false;
    } else if (!name.empty() && !m_isReportedMissing) {
        m_dependencies.fleet.setAbsent(m_replica.id, name, m_dependencies.scheduler.now());
        m_isReportedMissing = true;
    } else if (isMisdirected || m_sends > 1) {
        m_excluded.insert(m_replica.id);
        m_isReportedMissing = false;
    }
    if (m_request.adapter.empty()) {
        m_excluded.insert(m_replica.id);
    }
    if (m_sends >= MaxSends && isContinued()) {
        selectReplicaLater();
        return;
    }
    if (m_sends >= MaxSends) {
        refuse("all replicas that were tried rejected the request", RetryAfterOverload);
        return;
    }
    if (m_isReportedMissing && m_loadRequests < MaxLoadRequests) {
        loadAdapter();
        return;
    }
    selectReplica();
}

void ForwardedRequest::handleInterruption(const Net::HttpResult &result)
{
    const bool mayHaveRun = result.mayHaveBeenSent;
    recordOutcome(mayHaveRun ? Placement::AttemptOutcome::Failed : Placement::AttemptOutcome::Unreachable);
    endAttempt();
    Log::write(Log::Event::AttemptFailed,
               {{"request", m_request.attemptId},
                {"replica", m_replica.id.value},
                {"mayHaveRun", mayHaveRun ? "yes" : "no"},
                {"reason", result.error}});
    m_excluded.insert(m_replica.id);
    if (mayHaveRun) {
        ++m_possibleRuns;
    } else {
        --m_arrivals;
    }
    retryOrFail(result.error);
}

void ForwardedRequest::dropResponse()
{
    ++m_possibleRuns;
    recordOutcome(Placement::AttemptOutcome::Failed);
    endAttempt();
    m_excluded.insert(m_replica.id);
    Log::write(
        Log::Event::WrongAnswerDropped,
        {{"request", m_request.attemptId}, {"replica", m_replica.id.value}, {"status", std::to_string(m_head.status)}});
    retryOrFail("the response of the replica doesn't match the request");
}

void ForwardedRequest::handleResponse()
{
    if (isUnusableResponse()) {
        dropResponse();
        return;
    }
    ++m_possibleRuns;
    const bool isFailure = m_head.status >= Core::HttpStatus::InternalServerError;
    recordOutcome(isFailure ? Placement::AttemptOutcome::Failed : Placement::AttemptOutcome::Served);
    if (const auto now = m_dependencies.scheduler.now(); !isFailure) {
        m_dependencies.fleet.recordTimeliness(m_replica.id, m_request, now - m_sentAt, m_route.route->objective, now);
    }
    if (!isFailure && !isEventStream()) {
        recordResponse();
    }
    // A crash can't be told from the end of a response without framing.
    if (m_head.status == Core::HttpStatus::Ok && m_head.isFramed) {
        recordHarmless();
    }
    measureResponse();
    endAttempt();
    if (isFailure && !m_isStreaming && mayRunAgain() && remaining() > MinRemainingTime && m_sends < MaxSends) {
        m_excluded.insert(m_replica.id);
        selectReplica();
        return;
    }
    forwardResponse(std::move(m_body));
}

void ForwardedRequest::forwardResponse(std::string body)
{
    const auto status = static_cast<unsigned>(m_head.status);
    if (m_isStreaming) {
        m_exchange->send(m_events.partial());
        m_exchange->endStream();
    } else {
        m_buffer.release(); // The exchange reserves the body from here on.
        m_exchange->respond({.status = status, .contentType = {}, .headers = m_head.fields}, std::move(body));
    }
    end(status, "answered");
}

}
