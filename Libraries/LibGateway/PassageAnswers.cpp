// What a replica answers to a request on its way, and what becomes of the request then.
#include <LibGateway/Passage.h>

#include <LibCore/HttpStatus.h>
#include <LibGateway/PassageLimits.h>
#include <LibLog/Log.h>

namespace Gateway {

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
    if (m_ports.fleet.health().recordOutcome(m_replica.id, m_replica.zone, outcome, m_ports.scheduler.now())) {
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
    if (m_isRefuted && m_loads < MostLoads) {
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
    }
    retryOrFail(result.error);
}

void Passage::takeAnswer(const Net::HttpResult &result)
{
    ++m_runs;
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

}
