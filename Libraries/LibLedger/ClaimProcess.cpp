#include <LibLedger/ClaimProcess.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Ledger {

ClaimProcess::ClaimProcess(const LedgerDependencies &dependencies, GroupWriter &writer, const LedgerOptions &options,
                           ClaimRequest request, ClaimRow row, DoneFunction done)
    : m_dependencies(dependencies)
    , m_writer(writer)
    , m_options(options)
    , m_request(std::move(request))
    , m_row(std::move(row))
    , m_rowKey(m_request.key.toRowKey())
    , m_done(std::move(done))
    , m_delay(options.initialRetryDelay)
{
}

void ClaimProcess::start()
{
    const auto timeLeft = m_request.deadline - m_dependencies.scheduler.now();
    m_deadlineTimer
        = m_dependencies.scheduler.runAfter(std::max(timeLeft, Core::Duration::zero()), [self = shared_from_this()] {
              self->handleTimeout();
          });
    m_tableTimer = m_dependencies.scheduler.runAfter(m_options.tableTimeout, [self = shared_from_this()] {
        if (!self->m_isRowTaken) {
            self->handleTimeout();
        }
    });
    submit();
}

std::uint64_t ClaimProcess::baseVersion() const
{
    return m_baseVersion;
}

bool ClaimProcess::mayBeWritten() const
{
    return m_mayBeWritten;
}

void ClaimProcess::submit()
{
    m_mayBeWritten = true;
    m_writer.write({.key = m_rowKey, .version = m_baseVersion, .value = toText(m_row)},
                   [self = shared_from_this()](auto outcome) {
                       self->handleWrite(outcome);
                   });
}

void ClaimProcess::handleWrite(Platform::TransactionOutcome outcome)
{
    if (m_hasEnded) {
        return;
    }
    switch (outcome) {
    case Platform::TransactionOutcome::Committed:
        end({.outcome = ClaimOutcome::Held, .attempt = m_row.attempt});
        return;
    case Platform::TransactionOutcome::Conflicted:
        // The conflicting row may be our own, from a write whose response was lost.
        m_isRowTaken = true;
        readRow();
        return;
    case Platform::TransactionOutcome::Unknown:
    case Platform::TransactionOutcome::NotSent:
        // Retrying the same write resolves the outcome: it commits, or it conflicts with what the first one wrote.
        retry(&ClaimProcess::submit);
        return;
    }
}

void ClaimProcess::readRow()
{
    m_dependencies.table.read(m_options.writer.table, m_rowKey, [self = shared_from_this()](const auto &result) {
        if (!self->m_hasEnded) {
            self->handleRead(result);
        }
    });
}

void ClaimProcess::handleRead(const Platform::ReadResult &result)
{
    // A read that shows no later version may be stale, so nothing follows from it.
    if (!result.isAvailable || !result.row.has_value() || result.row->version <= m_baseVersion) {
        retry(&ClaimProcess::readRow);
        return;
    }
    try {
        handleRow(*result.row);
    } catch (const nlohmann::json::exception &error) {
        end({.outcome = ClaimOutcome::Unknown,
             .reason = std::string("the ledger row can't be parsed: ") + error.what()});
    }
}

void ClaimProcess::handleRow(const Platform::Row &row)
{
    const auto seen = claimRowFromText(row.value);
    if (seen.attempt == m_row.attempt && seen.state == ClaimState::Claimed) {
        end({.outcome = ClaimOutcome::Held, .attempt = m_row.attempt});
        return;
    }
    // The row has a later version than our base, so none of our writes can take effect any more.
    m_mayBeWritten = false;
    if (seen.state != ClaimState::Withdrawn && seen.fingerprint != m_row.fingerprint) {
        end({.outcome = ClaimOutcome::KeyReused, .reason = "the Idempotency-Key was already used for another request"});
        return;
    }
    m_earlierVersion = row.version;
    switch (seen.state) {
    case ClaimState::Done:
        end({.outcome = ClaimOutcome::Recorded, .result = seen.result});
        return;
    case ClaimState::Withdrawn:
        takeOver();
        return;
    case ClaimState::Claimed:
        m_earlierClaim = seen;
        queryClaimant();
        return;
    }
}

void ClaimProcess::queryClaimant()
{
    m_dependencies.router.call<ClaimQueryReply>(m_earlierClaim->host, ClaimQuery {.attempt = m_earlierClaim->attempt},
                                                m_options.queryTimeout, [self = shared_from_this()](const auto &reply) {
                                                    if (!self->m_hasEnded) {
                                                        self->handleReply(reply);
                                                    }
                                                });
}

void ClaimProcess::handleReply(const std::optional<ClaimQueryReply> &reply)
{
    if (!reply.has_value() || reply->incarnation != m_earlierClaim->incarnation) {
        // The claimant is unresponsive, dead or restarted, so only the service knows the outcome.
        fenceEarlierAttempt();
        return;
    }
    switch (reply->status) {
    case ClaimStatus::Resolved:
        retry(&ClaimProcess::readRow);
        return;
    case ClaimStatus::InProgress:
        retry(&ClaimProcess::queryClaimant);
        return;
    case ClaimStatus::Finished:
        end({.outcome = ClaimOutcome::Recorded, .result = reply->result});
        return;
    case ClaimStatus::Abandoned:
        takeOver();
        return;
    case ClaimStatus::Unknown:
        end({.outcome = ClaimOutcome::Unknown, .reason = "the service's response to an earlier attempt was lost"});
        return;
    }
}

void ClaimProcess::fenceEarlierAttempt()
{
    if (!m_request.fence) {
        retry(&ClaimProcess::queryClaimant);
        return;
    }
    m_request.fence(m_earlierClaim->target, m_earlierClaim->attempt, [self = shared_from_this()](const auto &verdict) {
        if (!self->m_hasEnded) {
            self->handleVerdict(verdict);
        }
    });
}

void ClaimProcess::handleVerdict(const FenceVerdict &verdict)
{
    switch (verdict.state) {
    case FenceVerdict::State::Unreachable:
    case FenceVerdict::State::Running:
        retry(&ClaimProcess::queryClaimant);
        return;
    case FenceVerdict::State::Ran:
        recordEarlierResult(verdict.result);
        return;
    case FenceVerdict::State::Fenced:
        takeOver();
        return;
    }
}

// Claims the call in place of the earlier attempt. The write is conditional on the row version at which that attempt's
// claim was read.
void ClaimProcess::takeOver()
{
    m_baseVersion = m_earlierVersion;
    m_earlierClaim.reset();
    m_isRowTaken = false;
    submit();
}

// Records the result that the service reported, since the claimant can't. The outcome of the write doesn't matter,
// because the service reports the same result to the next host that asks.
void ClaimProcess::recordEarlierResult(const CallResult &result)
{
    auto done = *m_earlierClaim;
    done.state = ClaimState::Done;
    done.result = result;
    m_writer.write({.key = m_rowKey, .version = m_earlierVersion, .value = toText(done)}, [](auto) {});
    end({.outcome = ClaimOutcome::Recorded, .result = result});
}

void ClaimProcess::retry(void (ClaimProcess::*step)())
{
    m_dependencies.scheduler.runAfter(m_delay, [self = shared_from_this(), step] {
        if (!self->m_hasEnded) {
            (*self.*step)();
        }
    });
    m_delay = std::min(m_delay * 2, m_options.maxRetryDelay);
}

void ClaimProcess::handleTimeout()
{
    if (m_hasEnded) {
        return;
    }
    if (m_isRowTaken) {
        end({.outcome = ClaimOutcome::Unknown,
             .reason = "the outcome of an earlier attempt could not be resolved in time"});
    } else {
        end({.outcome = ClaimOutcome::Unavailable, .reason = "the table service didn't respond in time"});
    }
}

void ClaimProcess::end(ClaimResult result)
{
    m_hasEnded = true;
    m_dependencies.scheduler.cancel(m_deadlineTimer);
    m_dependencies.scheduler.cancel(m_tableTimer);
    // The function may hold the last reference to this object.
    const auto done = std::exchange(m_done, nullptr);
    done(result);
}

}
