// The part of ForwardedRequest that waits: for a load, for a silent replica, for a chance to continue a response, and
// until its deadline.
#include <LibGateway/ForwardedRequest.h>

#include <LibGateway/ForwardingLimits.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Gateway {

namespace {

// An idempotent request is moved elsewhere if the replica sends nothing for this many times the latency objective.
constexpr int IdleTimeoutObjectives = 2;
// Lower limit of the idle timeout before the first bytes, for routes with a short latency objective.
constexpr auto MinIdleTimeout = std::chrono::milliseconds(250);
// A resumable stream is moved to another replica if no event arrives for this long. Callers wait for at least two
// seconds, and a crowded replica pauses for up to a second.
constexpr auto StreamIdleTimeout = std::chrono::milliseconds(1200);
// Lower limit of the Retry-After of a request whose adapter is being loaded.
constexpr auto MinRetryAfterLoad = std::chrono::milliseconds(100);
// Pause before a replica is selected again for a response that has begun.
constexpr auto ContinuationPause = std::chrono::milliseconds(100);

}

bool ForwardedRequest::isContinued() const
{
    return m_isStreaming && mayRunAgain();
}

void ForwardedRequest::awaitLoad(Core::Duration expectedDelay)
{
    if (!m_dependencies.fleet.isAvailable(m_replica, m_dependencies.scheduler.now())) {
        m_excluded.insert(m_replica.id);
        selectReplica();
        return;
    }
    if (mayAwaitLoad(loadWait())) {
        requestLoad();
        return;
    }
    refuse("the adapter is still being loaded", std::max<Core::Duration>(expectedDelay, MinRetryAfterLoad));
}

LoadWait ForwardedRequest::loadWait() const
{
    return {.objective = m_route.route->objective,
            .waited = m_dependencies.scheduler.now() - m_startedAt,
            .remaining = remaining(),
            .requests = m_loadRequests,
            .isContinued = isContinued()};
}

void ForwardedRequest::selectReplicaLater()
{
    m_stage = Stage::Selecting;
    m_excluded.clear();
    m_isReportedMissing = false; // That was said of the last replica.
    m_dependencies.scheduler.runAfter(ContinuationPause, [self = shared_from_this()] {
        if (self->m_stage == Stage::Selecting) {
            self->selectReplica();
        }
    });
}

Core::Duration ForwardedRequest::idleTimeout() const
{
    return m_isStreaming ? Core::Duration(StreamIdleTimeout)
                         : std::max<Core::Duration>(m_route.route->objective * IdleTimeoutObjectives, MinIdleTimeout);
}

bool ForwardedRequest::isIdle() const
{
    return m_stage == Stage::Sending && !m_unreadSince.has_value()
        && m_dependencies.scheduler.now() - m_lastProgressAt >= idleTimeout();
}

void ForwardedRequest::startIdleTimer()
{
    if (m_possibleRuns + 1 >= std::max(m_route.route->maxAttempts, 1U) || !mayRunAgain()) {
        return;
    }
    const auto due = m_lastProgressAt + idleTimeout() - m_dependencies.scheduler.now();
    // A move that isn't possible yet is tried again, for a response that has begun soon.
    const auto pause
        = due > Core::Duration::zero() || m_isStreaming ? Core::Duration(ContinuationPause) : idleTimeout();
    const auto delay = std::max<Core::Duration>(due, pause);
    m_dependencies.scheduler.cancel(m_idleTimer);
    m_idleTimer = m_dependencies.scheduler.runAfter(delay, [self = shared_from_this()] {
        self->m_idleTimer = Core::TimerId::None;
        self->handleIdleTimer();
    });
}

void ForwardedRequest::handleIdleTimer()
{
    if (m_stage != Stage::Sending) {
        return;
    }
    if (isIdle()) {
        prepareMove();
    } else {
        startIdleTimer();
    }
}

void ForwardedRequest::handleDeadline()
{
    if (m_stage == Stage::Ended) {
        return;
    }
    // A body that goes on beyond the deadline has no end, as far as this host can know.
    if (m_stage == Stage::Sending && (!m_hasHead || !isEventStream())) {
        recordOutcome(Placement::AttemptOutcome::Failed);
    }
    endUnanswered("the deadline has passed");
}

void ForwardedRequest::abandonSilentAttempt()
{
    m_dependencies.client.cancel(m_transfer);
    m_transfer = Net::HttpRequestId::None;
    ++m_possibleRuns;
    recordOutcome(Placement::AttemptOutcome::Unreachable);
    endAttempt();
    m_excluded.insert(m_replica.id);
}

void ForwardedRequest::prepareMove()
{
    auto excluded = m_excluded;
    excluded.insert(m_replica.id);
    const auto now = m_dependencies.scheduler.now();
    const auto *replica = m_dependencies.fleet.choose(m_request, m_service, excluded, now);
    if (replica == nullptr || remaining() < MinRemainingTime || isQuarantined()) {
        startIdleTimer();
        return;
    }
    const auto name = FleetView::adapterName(m_request);
    if (const auto version = m_dependencies.fleet.residentVersion(replica->id, name);
        name.empty() || version.has_value()) {
        moveAttempt(*replica, version.value_or(0));
        return;
    }
    m_dependencies.loadAdapter(
        adapterRequest(replica->id),
        [self = shared_from_this(), replica = *replica, sends = m_sends](const Holding::AdapterReply &reply) {
            if (self->m_stage != Stage::Sending || self->m_sends != sends) {
                return;
            }
            if (reply.outcome == static_cast<std::uint8_t>(Holding::AdapterOutcome::Ready)) {
                self->moveAttempt(replica, reply.version);
            } else {
                self->startIdleTimer();
            }
        });
}

void ForwardedRequest::moveAttempt(const Fleet::Replica &replica, std::uint64_t version)
{
    const auto now = m_dependencies.scheduler.now();
    const bool isPossible = isIdle() && m_dependencies.fleet.isAvailable(replica, now) && !isQuarantined()
        && hasValidKey() && m_dependencies.retryBudget.tryRetry(m_service, m_dependencies.hostCount(), now);
    if (!isPossible) {
        startIdleTimer();
        return;
    }
    Log::write(Log::Event::AnswerResumed,
               {{"request", m_request.attemptId},
                {"target", replica.id.value},
                {"from", m_replica.id.value},
                {"silentMs", std::to_string(Core::toMilliseconds(now - m_lastProgressAt))}});
    abandonSilentAttempt();
    m_replica = replica;
    m_version = version;
    if (!m_request.adapter.empty()) {
        m_dependencies.fleet.setResident(replica.id, FleetView::adapterName(m_request), version, now);
    }
    startAttempt();
}

}
