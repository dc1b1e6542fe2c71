#pragma once

#include <LibCore/IdSource.h>
#include <LibLedger/ClaimProcess.h>
#include <map>

namespace Ledger {

// Sees to it that a call that must not be repeated runs at most once, through whichever host it comes. An attempt
// is claimed in the table service before it is sent; its result is written into the row for repeats. An attempt
// that was given up is never sent afterwards, and its claim is withdrawn, however long that takes.
class Ledger
{
public:
    using ClaimFunction = ClaimProcess::DoneFunction;
    using VerdictFunction = std::function<void(const FenceVerdict &)>;

    Ledger(const LedgerPorts &ports, Core::IdSource &ids, Core::HostId self, std::uint64_t incarnation,
           LedgerOptions options);

    // Claims the call. The function runs once, never inside this call.
    void claim(ClaimRequest request, ClaimFunction done);
    // To be called just before a held attempt is sent. When it returns false the attempt must not be sent.
    [[nodiscard]] bool beginSending(const Core::AttemptId &attempt);
    // The service answered. The result is written for repeats, and kept here until it stands there.
    void finish(const Core::AttemptId &attempt, CallResult result);
    // The attempt surely has not run, and will never be sent from now on.
    void abandon(const Core::AttemptId &attempt);
    // The answer of a sent attempt was lost: the service is asked until it can tell. Without a fence function the
    // attempt stays unknown, and the function doesn't run.
    void settle(const Core::AttemptId &attempt, const FenceFunction &fence, VerdictFunction done);

    // Attempts whose row has yet to be written or settled, and can be.
    [[nodiscard]] std::size_t unresolvedCount() const;

private:
    enum class State { Claiming, Held, Sent, Settling, Unknown, Finished, Abandoned };
    struct Attempt {
        State state = State::Claiming;
        ClaimRow row;
        std::string rowKey;
        std::uint64_t baseVersion = 0;
        Core::Duration delay {};
    };

    void takeClaim(const std::shared_ptr<ClaimProcess> &process, const Core::AttemptId &attempt,
                   const ClaimResult &result, const ClaimFunction &done);
    [[nodiscard]] ClaimQueryReply answer(const ClaimQuery &query) const;
    void writeResult(const Core::AttemptId &id);
    void withdraw(const Core::AttemptId &id);
    void takeWithdrawalRead(const Core::AttemptId &id, const Platform::ReadResult &result);
    void writeWithdrawal(const Core::AttemptId &id, std::uint64_t version);
    void retryLater(const Core::AttemptId &id, void (Ledger::*step)(const Core::AttemptId &));

    LedgerPorts m_ports;
    Core::IdSource &m_ids;
    Core::HostId m_self;
    std::uint64_t m_incarnation;
    LedgerOptions m_options;
    GroupWriter m_writer;
    std::map<Core::AttemptId, Attempt> m_attempts;
};

}
