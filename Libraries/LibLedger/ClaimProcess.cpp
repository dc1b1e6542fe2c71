#include <LibLedger/ClaimProcess.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Ledger {

ClaimProcess::ClaimProcess(const LedgerPorts &ports, GroupWriter &writer, const LedgerOptions &options,
                           ClaimRequest request, ClaimRow row, DoneFunction done)
    : m_ports(ports)
    , m_writer(writer)
    , m_options(options)
    , m_request(std::move(request))
    , m_row(std::move(row))
    , m_rowKey(m_request.key.toRowKey())
    , m_done(std::move(done))
    , m_delay(options.firstRetryDelay)
{
}

void ClaimProcess::start()
{
    const auto left = m_request.deadline - m_ports.scheduler.now();
    m_deadlineTimer = m_ports.scheduler.runAfter(std::max(left, Core::Duration::zero()), [self = shared_from_this()] {
        self->expire();
    });
    m_patienceTimer = m_ports.scheduler.runAfter(m_options.tablePatience, [self = shared_from_this()] {
        if (!self->m_isTaken) {
            self->expire();
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
    return m_isWriteOpen;
}

void ClaimProcess::submit()
{
    m_isWriteOpen = true;
    m_writer.write({.key = m_rowKey, .version = m_baseVersion, .value = toText(m_row)},
                   [self = shared_from_this()](auto outcome) {
                       self->takeWrite(outcome);
                   });
}

void ClaimProcess::takeWrite(Platform::TransactionOutcome outcome)
{
    if (m_hasEnded) {
        return;
    }
    switch (outcome) {
    case Platform::TransactionOutcome::Committed:
        end({.outcome = ClaimOutcome::Held, .attempt = m_row.attempt});
        return;
    case Platform::TransactionOutcome::Conflicted:
        // The row in the way may be our own, from a write whose answer was lost.
        m_isTaken = true;
        readRow();
        return;
    case Platform::TransactionOutcome::Unknown:
    case Platform::TransactionOutcome::NotSent:
        // The same write again settles it: it commits, or meets what the first one wrote.
        retry(&ClaimProcess::submit);
        return;
    }
}

void ClaimProcess::readRow()
{
    m_ports.table.read(m_options.writer.table, m_rowKey, [self = shared_from_this()](const auto &result) {
        if (!self->m_hasEnded) {
            self->takeRead(result);
        }
    });
}

void ClaimProcess::takeRead(const Platform::ReadResult &result)
{
    // A lagging read that shows nothing new proves nothing.
    if (!result.isAvailable || !result.row.has_value() || result.row->version <= m_baseVersion) {
        retry(&ClaimProcess::readRow);
        return;
    }
    try {
        takeRow(*result.row);
    } catch (const nlohmann::json::exception &error) {
        end({.outcome = ClaimOutcome::Unknown,
             .reason = std::string("the ledger's row can't be read: ") + error.what()});
    }
}

void ClaimProcess::takeRow(const Platform::Row &row)
{
    const auto seen = claimRowFromText(row.value);
    if (seen.attempt == m_row.attempt && seen.state == ClaimState::Claimed) {
        end({.outcome = ClaimOutcome::Held, .attempt = m_row.attempt});
        return;
    }
    // Another row stands later than our base, so no write of ours can take effect any more.
    m_isWriteOpen = false;
    if (seen.state != ClaimState::Withdrawn && seen.fingerprint != m_row.fingerprint) {
        end({.outcome = ClaimOutcome::OtherRequest, .reason = "the key was used for another request"});
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
        m_earlier = seen;
        askClaimant();
        return;
    }
}

void ClaimProcess::askClaimant()
{
    m_ports.router.call<ClaimQueryReply>(m_earlier->host, ClaimQuery {.attempt = m_earlier->attempt},
                                         m_options.queryTimeout, [self = shared_from_this()](const auto &reply) {
                                             if (!self->m_hasEnded) {
                                                 self->takeReply(reply);
                                             }
                                         });
}

void ClaimProcess::takeReply(const std::optional<ClaimQueryReply> &reply)
{
    if (!reply.has_value() || reply->incarnation != m_earlier->incarnation) {
        // Silent, dead or restarted: only the service can tell.
        fenceEarlier();
        return;
    }
    switch (reply->word) {
    case ClaimWord::Settled:
        retry(&ClaimProcess::readRow);
        return;
    case ClaimWord::InProgress:
        retry(&ClaimProcess::askClaimant);
        return;
    case ClaimWord::Finished:
        end({.outcome = ClaimOutcome::Recorded, .result = reply->result});
        return;
    case ClaimWord::Abandoned:
        takeOver();
        return;
    case ClaimWord::Unknown:
        end({.outcome = ClaimOutcome::Unknown, .reason = "the service's answer to an earlier attempt was lost"});
        return;
    }
}

void ClaimProcess::fenceEarlier()
{
    if (!m_request.fence) {
        retry(&ClaimProcess::askClaimant);
        return;
    }
    m_request.fence(m_earlier->target, m_earlier->attempt, [self = shared_from_this()](const auto &verdict) {
        if (!self->m_hasEnded) {
            self->takeVerdict(verdict);
        }
    });
}

void ClaimProcess::takeVerdict(const FenceVerdict &verdict)
{
    switch (verdict.state) {
    case FenceVerdict::State::Unreachable:
    case FenceVerdict::State::Running:
        retry(&ClaimProcess::askClaimant);
        return;
    case FenceVerdict::State::Ran:
        recordEarlier(verdict.result);
        return;
    case FenceVerdict::State::Fenced:
        takeOver();
        return;
    }
}

// Claims the call in place of the earlier attempt: the row's version names that attempt's claim.
void ClaimProcess::takeOver()
{
    m_baseVersion = m_earlierVersion;
    m_earlier.reset();
    m_isTaken = false;
    submit();
}

// Writes down what the service said, in the name of a claimant that can't. Whether the write arrives decides
// nothing: the service says the same to the next one that asks.
void ClaimProcess::recordEarlier(const CallResult &result)
{
    auto done = *m_earlier;
    done.state = ClaimState::Done;
    done.result = result;
    m_writer.write({.key = m_rowKey, .version = m_earlierVersion, .value = toText(done)}, [](auto) {});
    end({.outcome = ClaimOutcome::Recorded, .result = result});
}

void ClaimProcess::retry(void (ClaimProcess::*step)())
{
    m_ports.scheduler.runAfter(m_delay, [self = shared_from_this(), step] {
        if (!self->m_hasEnded) {
            (*self.*step)();
        }
    });
    m_delay = std::min(m_delay * 2, m_options.longestRetryDelay);
}

void ClaimProcess::expire()
{
    if (m_hasEnded) {
        return;
    }
    if (m_isTaken) {
        end({.outcome = ClaimOutcome::Unknown, .reason = "an earlier attempt has not been settled in time"});
    } else {
        end({.outcome = ClaimOutcome::Unavailable, .reason = "the table service didn't answer in time"});
    }
}

void ClaimProcess::end(ClaimResult result)
{
    m_hasEnded = true;
    m_ports.scheduler.cancel(m_deadlineTimer);
    m_ports.scheduler.cancel(m_patienceTimer);
    // The function may hold the last reference to this process.
    const auto done = std::exchange(m_done, nullptr);
    done(result);
}

}
