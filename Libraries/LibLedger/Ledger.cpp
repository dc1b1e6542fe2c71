#include <LibLedger/Ledger.h>

#include <LibLog/Log.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Ledger {

Ledger::Ledger(const LedgerDependencies &dependencies, Core::IdSource &ids, Core::HostId self,
               std::uint64_t incarnation, LedgerOptions options)
    : m_dependencies(dependencies)
    , m_ids(ids)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_options(std::move(options))
    , m_writer(dependencies.scheduler, dependencies.table, dependencies.metrics, m_options.writer)
{
    m_dependencies.router.onCall<ClaimQuery, ClaimQueryReply>(
        [this](const auto & /*from*/, const ClaimQuery &query, const auto &reply) {
            reply(replyTo(query));
        });
}

void Ledger::claim(ClaimRequest request, ClaimFunction done)
{
    if (m_writer.isSaturated()) {
        m_dependencies.metrics.count("currantbay_ledger_shed_total");
        m_dependencies.scheduler.runAfter({}, [done = std::move(done)] {
            done({.outcome = ClaimOutcome::Shed, .reason = "too many calls are waiting for the table service"});
        });
        return;
    }
    const Core::AttemptId id {m_ids.next("attempt")};
    const ClaimRow row {.attempt = id,
                        .host = m_self,
                        .incarnation = m_incarnation,
                        .target = request.target,
                        .fingerprint = request.fingerprint};
    m_attempts[id] = {.row = row, .rowKey = request.key.toRowKey(), .delay = m_options.initialRetryDelay};
    // The claim process is kept alive by its own timers and requests. The last of them calls the function below.
    auto weakProcess = std::make_shared<std::weak_ptr<ClaimProcess>>();
    const auto process
        = std::make_shared<ClaimProcess>(m_dependencies, m_writer, m_options, std::move(request), row,
                                         [this, id, weakProcess, done = std::move(done)](const auto &result) {
                                             handleClaim(weakProcess->lock(), id, result, done);
                                         });
    *weakProcess = process;
    process->start();
}

void Ledger::handleClaim(const std::shared_ptr<ClaimProcess> &process, const Core::AttemptId &attempt,
                         const ClaimResult &result, const ClaimFunction &done)
{
    auto &record = m_attempts.at(attempt);
    record.baseVersion = process->baseVersion();
    if (result.outcome == ClaimOutcome::Held) {
        record.state = State::Held;
    } else if (process->mayBeWritten()) {
        abandon(attempt);
    } else {
        m_attempts.erase(attempt);
    }
    done(result);
}

bool Ledger::beginSending(const Core::AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.state != State::Held) {
        return false;
    }
    found->second.state = State::Sent;
    return true;
}

void Ledger::finish(const Core::AttemptId &attempt, CallResult result)
{
    auto &record = m_attempts.at(attempt);
    if (result.body.size() > m_options.maxBodySize) {
        result.body.clear();
        result.isBodyOmitted = true;
    }
    record.state = State::Finished;
    record.row.state = ClaimState::Done;
    record.row.result = std::move(result);
    writeResult(attempt);
}

void Ledger::abandon(const Core::AttemptId &attempt)
{
    auto &record = m_attempts.at(attempt);
    record.state = State::Abandoned;
    record.row.state = ClaimState::Withdrawn;
    Log::write(Log::Event::AttemptAbandoned, {{"attempt", attempt.value}});
    withdraw(attempt);
}

void Ledger::resolve(const Core::AttemptId &attempt, const FenceFunction &fence, VerdictFunction done)
{
    auto &record = m_attempts.at(attempt);
    if (!fence) {
        record.state = State::Unknown;
        Log::write(Log::Event::AttemptUnknown, {{"attempt", attempt.value}, {"target", record.row.target.value}});
        return;
    }
    record.state = State::Resolving;
    fence(record.row.target, attempt, [this, attempt, fence, done = std::move(done)](const FenceVerdict &verdict) {
        if (verdict.state == FenceVerdict::State::Ran) {
            finish(attempt, verdict.result);
            done(verdict);
        } else if (verdict.state == FenceVerdict::State::Fenced) {
            abandon(attempt);
            done(verdict);
        } else {
            auto &delay = m_attempts.at(attempt).delay;
            m_dependencies.scheduler.runAfter(delay, [this, attempt, fence, done] {
                resolve(attempt, fence, done);
            });
            delay = std::min(delay * 2, m_options.maxBackgroundRetryDelay);
        }
    });
}

std::size_t Ledger::unresolvedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &entry) {
        return entry.second.state != State::Unknown;
    }));
}

ClaimQueryReply Ledger::replyTo(const ClaimQuery &query) const
{
    static const std::map<State, ClaimStatus> statuses {
        {State::Claiming, ClaimStatus::InProgress}, {State::Held, ClaimStatus::InProgress},
        {State::Sent, ClaimStatus::InProgress},     {State::Resolving, ClaimStatus::InProgress},
        {State::Unknown, ClaimStatus::Unknown},     {State::Finished, ClaimStatus::Finished},
        {State::Abandoned, ClaimStatus::Abandoned},
    };
    ClaimQueryReply reply {.incarnation = m_incarnation};
    if (const auto found = m_attempts.find(query.attempt); found != m_attempts.end()) {
        reply.status = statuses.at(found->second.state);
        reply.result = found->second.row.result;
    }
    return reply;
}

// The write is unconditional: once an attempt has run, its row can have no other value, so the write may be retried and
// may take effect late.
void Ledger::writeResult(const Core::AttemptId &id)
{
    const auto &record = m_attempts.at(id);
    m_writer.write({.key = record.rowKey, .value = toText(record.row)}, [this, id](auto outcome) {
        if (outcome == Platform::TransactionOutcome::Committed) {
            m_attempts.erase(id);
        } else {
            retryLater(id, &Ledger::writeResult);
        }
    });
}

void Ledger::withdraw(const Core::AttemptId &id)
{
    m_dependencies.table.read(m_options.writer.table, m_attempts.at(id).rowKey, [this, id](const auto &result) {
        handleWithdrawalRead(id, result);
    });
}

void Ledger::handleWithdrawalRead(const Core::AttemptId &id, const Platform::ReadResult &result)
{
    const auto &record = m_attempts.at(id);
    if (!result.isAvailable) {
        retryLater(id, &Ledger::withdraw);
        return;
    }
    if (!result.row.has_value() || result.row->version <= record.baseVersion) {
        // A write of the claim may still be in flight. With this write first, it conflicts and takes no effect.
        writeWithdrawal(id, record.baseVersion);
        return;
    }
    bool isOurClaim = false;
    try {
        const auto seen = claimRowFromText(result.row->value);
        isOurClaim = seen.attempt == id && seen.state == ClaimState::Claimed;
    } catch (const nlohmann::json::exception &) {
    }
    if (isOurClaim) {
        writeWithdrawal(id, result.row->version);
    } else {
        m_attempts.erase(id);
    }
}

void Ledger::writeWithdrawal(const Core::AttemptId &id, std::uint64_t version)
{
    const auto &record = m_attempts.at(id);
    m_writer.write({.key = record.rowKey, .version = version, .value = toText(record.row)}, [this, id](auto outcome) {
        if (outcome == Platform::TransactionOutcome::Committed) {
            m_attempts.erase(id);
        } else {
            retryLater(id, &Ledger::withdraw);
        }
    });
}

void Ledger::retryLater(const Core::AttemptId &id, void (Ledger::*step)(const Core::AttemptId &))
{
    auto &delay = m_attempts.at(id).delay;
    m_dependencies.scheduler.runAfter(delay, [this, id, step] {
        (this->*step)(id);
    });
    delay = std::min(delay * 2, m_options.maxBackgroundRetryDelay);
}

}
