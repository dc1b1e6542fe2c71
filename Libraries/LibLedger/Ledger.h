#pragma once

#include <LibCore/IdSource.h>
#include <LibLedger/ClaimProcess.h>
#include <map>

namespace Ledger {

// The ledger ensures that a call that isn't idempotent runs at most once, whichever host receives it and its retries.
// An attempt is claimed in the table service before it is sent, and its result is written to the same row for retries.
// An abandoned attempt is never sent, and its claim is withdrawn, with retries that don't time out.
class Ledger
{
public:
    using ClaimFunction = ClaimProcess::DoneFunction;
    using VerdictFunction = std::function<void(const FenceVerdict &)>;

    Ledger(const LedgerDependencies &dependencies, Core::IdSource &ids, Core::HostId self, std::uint64_t incarnation,
           LedgerOptions options);

    // Claims the call. The function is called once, and never before this call returns.
    void claim(ClaimRequest request, ClaimFunction done);
    // Must be called immediately before a held attempt is sent. If it returns false, the attempt must not be sent.
    [[nodiscard]] bool beginSending(const Core::AttemptId &attempt);
    // Records the service's response. The result is written to the table for retries, and kept in memory until the
    // write has committed.
    void finish(const Core::AttemptId &attempt, CallResult result);
    // Withdraws the claim of an attempt that is known not to have run and won't be sent from now on.
    void abandon(const Core::AttemptId &attempt);
    // Resolves the outcome of an attempt that was sent and whose response was lost: the service is asked to fence it
    // until the outcome is known. Without a fence function the outcome stays unknown, and the done function isn't
    // called.
    void resolve(const Core::AttemptId &attempt, const FenceFunction &fence, VerdictFunction done);

    // The number of attempts whose outcome has yet to be resolved or written to the table. Attempts whose outcome will
    // stay unknown don't count.
    [[nodiscard]] std::size_t unresolvedCount() const;

private:
    enum class State { Claiming, Held, Sent, Resolving, Unknown, Finished, Abandoned };
    struct Attempt {
        State state = State::Claiming;
        ClaimRow row;
        std::string rowKey;
        std::uint64_t baseVersion = 0;
        Core::Duration delay {};
    };

    void handleClaim(const std::shared_ptr<ClaimProcess> &process, const Core::AttemptId &attempt,
                     const ClaimResult &result, const ClaimFunction &done);
    [[nodiscard]] ClaimQueryReply replyTo(const ClaimQuery &query) const;
    void writeResult(const Core::AttemptId &id);
    void withdraw(const Core::AttemptId &id);
    void handleWithdrawalRead(const Core::AttemptId &id, const Platform::ReadResult &result);
    void writeWithdrawal(const Core::AttemptId &id, std::uint64_t version);
    void retryLater(const Core::AttemptId &id, void (Ledger::*step)(const Core::AttemptId &));

    LedgerDependencies m_dependencies;
    Core::IdSource &m_ids;
    Core::HostId m_self;
    std::uint64_t m_incarnation;
    LedgerOptions m_options;
    GroupWriter m_writer;
    std::map<Core::AttemptId, Attempt> m_attempts;
};

}
