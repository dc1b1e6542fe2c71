#pragma once

#include <LibCore/Scheduler.h>
#include <LibLedger/ClaimMessages.h>
#include <LibLedger/ClaimRequest.h>
#include <LibLedger/GroupWriter.h>
#include <LibPeer/PeerRouter.h>
#include <memory>

namespace Ledger {

struct LedgerOptions {
    Core::Duration tableTimeout = std::chrono::milliseconds(3000); // For the table service's response to a claim.
    Core::Duration queryTimeout = std::chrono::milliseconds(1000); // For a claimant's reply.
    Core::Duration initialRetryDelay = std::chrono::milliseconds(50); // Doubles with each retry up to the maximum.
    Core::Duration maxRetryDelay = std::chrono::milliseconds(1000);
    Core::Duration maxBackgroundRetryDelay = std::chrono::milliseconds(5000); // For work that no caller waits for.
    std::size_t maxBodySize = 16U << 10U; // In bytes. Larger result bodies aren't stored for retries.
    GroupWriterOptions writer {.table = "ledger"};
};

// The objects that the ledger of one host uses.
struct LedgerDependencies {
    Core::Scheduler &scheduler;
    Platform::TableService &table;
    Peer::PeerRouter &router;
    Metrics::Registry &metrics;
};

// Claims one attempt: writes the row of the call, and if the row is taken, resolves the outcome of the earlier attempt.
// A claim is replaced only if its claimant reports the attempt as abandoned or the service has fenced the attempt,
// never after a timeout.
class ClaimProcess : public std::enable_shared_from_this<ClaimProcess>
{
public:
    using DoneFunction = std::function<void(const ClaimResult &)>;

    ClaimProcess(const LedgerDependencies &dependencies, GroupWriter &writer, const LedgerOptions &options,
                 ClaimRequest request, ClaimRow row, DoneFunction done);

    void start();
    // The version that the row must have for a write of this claim to take effect.
    [[nodiscard]] std::uint64_t baseVersion() const;
    // True while the attempt's claim may be in the table or a write of it may still take effect.
    [[nodiscard]] bool mayBeWritten() const;

private:
    void submit();
    void handleWrite(Platform::TransactionOutcome outcome);
    void readRow();
    void handleRead(const Platform::ReadResult &result);
    void handleRow(const Platform::Row &row);
    void queryClaimant();
    void handleReply(const std::optional<ClaimQueryReply> &reply);
    void fenceEarlierAttempt();
    void handleVerdict(const FenceVerdict &verdict);
    void takeOver();
    void recordEarlierResult(const CallResult &result);
    void retry(void (ClaimProcess::*step)());
    void handleTimeout();
    void end(ClaimResult result);

    LedgerDependencies m_dependencies;
    GroupWriter &m_writer;
    LedgerOptions m_options;
    ClaimRequest m_request;
    ClaimRow m_row;
    std::string m_rowKey;
    DoneFunction m_done;
    std::uint64_t m_baseVersion = 0;
    std::optional<ClaimRow> m_earlierClaim; // The unfinished claim that was found in the row.
    std::uint64_t m_earlierVersion = 0;
    bool m_isRowTaken = false; // The row has a later version than the base.
    bool m_mayBeWritten = false; // A write of our claim may have taken or may take effect.
    bool m_hasEnded = false;
    Core::Duration m_delay;
    Core::TimerId m_tableTimer = Core::TimerId::None;
    Core::TimerId m_deadlineTimer = Core::TimerId::None;
};

}
