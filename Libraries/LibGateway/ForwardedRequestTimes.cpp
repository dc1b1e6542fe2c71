// Measurement of a replica's speed by its response to a forwarded request.
#include <LibGateway/ForwardedRequest.h>

#include <LibCore/HttpStatus.h>

namespace Gateway {

void ForwardedRequest::startMeasuring()
{
    // A repeated attempt may follow a load that was prepared while the first one was silent.
    m_isMeasured = m_loadRequests == 0 && m_sends == 1;
    m_eventSpans = {};
    m_tokensUntilFirstEvent = m_isMeasured ? m_dependencies.fleet.tokensUntilFirstEvent(m_replica) : 0;
}

void ForwardedRequest::measureEvents(std::uint64_t events)
{
    if (!m_isMeasured || m_request.model.empty()) {
        return;
    }
    const auto now = m_dependencies.scheduler.now();
    if (!m_answeringSince.has_value()) {
        m_dependencies.fleet.recordPrefill(m_replica.id, m_tokensUntilFirstEvent, now - m_sentAt);
    }
    if (const auto time = m_eventSpans.record(events, now); time.has_value()) {
        m_dependencies.fleet.recordEventTime(m_replica.id, *time);
    }
}

void ForwardedRequest::measureResponse()
{
    if (m_request.model.empty() && !isEventStream() && m_head.status == Core::HttpStatus::Ok) {
        const auto now = m_dependencies.scheduler.now();
        m_dependencies.fleet.recordResponseTime(m_replica, m_route.route->name, now - m_sentAt, now);
    }
}

}
