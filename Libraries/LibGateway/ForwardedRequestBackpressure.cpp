// The part of ForwardedRequest that slows the replica down while the caller reads slowly.
#include <LibGateway/ForwardedRequest.h>

#include <LibLog/Log.h>

namespace Gateway {

namespace {

// A replica that breaks a response off after it went unread for less time than this has failed. Replicas that cut
// unread responses wait for some seconds, part of which passes before this host notices that the caller is behind.
constexpr auto MinUnreadTime = std::chrono::seconds(1);

}

void ForwardedRequest::startDeadlineTimer()
{
    m_deadlineTimer = m_dependencies.scheduler.runAfter(remaining(), [self = shared_from_this()] {
        self->m_deadlineTimer = Core::TimerId::None;
        self->handleDeadline();
    });
}

void ForwardedRequest::handleReaderState(Net::ReaderState state)
{
    if (m_stage == Stage::Ended) {
        return;
    }
    if (state == Net::ReaderState::Behind) {
        pauseResponse();
    } else if (m_unreadSince.has_value()) {
        resumeResponse();
    }
}

void ForwardedRequest::pauseResponse()
{
    m_unreadSince = m_dependencies.scheduler.now();
    m_dependencies.metrics.count("currantbay_response_pauses_total");
    m_dependencies.scheduler.cancel(m_deadlineTimer);
    m_deadlineTimer = Core::TimerId::None;
    if (m_transfer != Net::HttpRequestId::None) {
        m_dependencies.client.pause(m_transfer);
    }
}

void ForwardedRequest::resumeResponse()
{
    const auto now = m_dependencies.scheduler.now();
    const auto unread = now - *m_unreadSince;
    m_deadline += unread;
    m_unreadTime += unread;
    recordPauseEnded();
    startDeadlineTimer();
    // The replica couldn't send, so its silence begins now.
    m_lastProgressAt = now;
    m_lastEventAt = now;
    if (m_transfer != Net::HttpRequestId::None) {
        m_dependencies.client.resume(m_transfer);
    }
    if (m_awaitsReader) {
        selectReplica();
    }
}

void ForwardedRequest::recordPauseEnded()
{
    if (!m_unreadSince.has_value()) {
        return;
    }
    const auto unread = m_dependencies.scheduler.now() - *m_unreadSince;
    m_unreadSince.reset();
    m_dependencies.metrics.count("currantbay_response_pause_milliseconds_total",
                                 static_cast<std::uint64_t>(Core::toMilliseconds(unread)));
}

bool ForwardedRequest::wasUnread() const
{
    const auto current = m_unreadSince.has_value() ? m_dependencies.scheduler.now() - *m_unreadSince : Core::Duration();
    return m_unreadTime + current >= MinUnreadTime;
}

void ForwardedRequest::handleUnreadBreak(const Net::HttpResult &result)
{
    m_dependencies.metrics.count("currantbay_unread_responses_cut_total");
    endAttempt();
    Log::write(Log::Event::AttemptFailed,
               {{"request", m_request.attemptId},
                {"replica", m_replica.id.value},
                {"mayHaveRun", "yes"},
                {"reason", "the response went unread, because its caller reads slowly: " + result.error}});
    m_excluded.insert(m_replica.id);
    ++m_possibleRuns;
    retryOrFail(result.error);
}

}
