#pragma once

#include <LibCore/Scheduler.h>
#include <LibLedger/ClaimMessages.h>
#include <LibLedger/ClaimRequest.h>
#include <LibLedger/GroupWriter.h>
#include <LibPeer/PeerRouter.h>
#include <memory>

namespace Ledger {

struct LedgerOptions {
    Core::Duration tablePatience = std::chrono::milliseconds(3000); // How long a claim waits for the table service.
    Core::Duration queryTimeout = std::chrono::milliseconds(1000); // How long a claimant may take to answer.
    Core::Duration firstRetryDelay = std::chrono::milliseconds(50); // Doubled at every further retry.
    Core::Duration longestRetryDelay = std::chrono::milliseconds(1000);
    Core::Duration longestBackgroundDelay = std::chrono::milliseconds(5000); // For work that no caller waits for.
    std::size_t largestBody = 16U << 10U; // Bytes of a result's body that are kept for repeats.
    GroupWriterOptions writer {.table = "ledger"};
};

// What the ledger of one host works with.
struct LedgerPorts {
    Core::Scheduler &scheduler;
    Platform::TableService &table;
    Peer::PeerRouter &router;
    Metrics::Registry &metrics;
};

// Claims one attempt: writes the row, and when it is taken finds out what became of the earlier attempt. A row
// changes hands on the claimant's own word or on the service's promise to refuse the old attempt, never by time.
class ClaimProcess : public std::enable_shared_from_this<ClaimProcess>
{
public:
    using DoneFunction = std::function<void(const ClaimResult &)>;

    ClaimProcess(const LedgerPorts &ports, GroupWriter &writer, const LedgerOptions &options, ClaimRequest request,
                 ClaimRow row, DoneFunction done);

    void start();
    // The version at which the row must stand for a write of this process to take effect.
    [[nodiscard]] std::uint64_t baseVersion() const;
    // True while the attempt's claim may stand in the table, or may still arrive there.
    [[nodiscard]] bool mayBeWritten() const;

private:
    void submit();
    void takeWrite(Platform::TransactionOutcome outcome);
    void readRow();
    void takeRead(const Platform::ReadResult &result);
    void takeRow(const Platform::Row &row);
    void askClaimant();
    void takeReply(const std::optional<ClaimQueryReply> &reply);
    void fenceEarlier();
    void takeVerdict(const FenceVerdict &verdict);
    void takeOver();
    void recordEarlier(const CallResult &result);
    void retry(void (ClaimProcess::*step)());
    void expire();
    void end(ClaimResult result);

    LedgerPorts m_ports;
    GroupWriter &m_writer;
    LedgerOptions m_options;
    ClaimRequest m_request;
    ClaimRow m_row;
    std::string m_rowKey;
    DoneFunction m_done;
    std::uint64_t m_baseVersion = 0;
    std::optional<ClaimRow> m_earlier; // The unfinished claim that was met.
    std::uint64_t m_earlierVersion = 0;
    bool m_isTaken = false; // A row stands at a later version than the base.
    bool m_isWriteOpen = false; // A claim of ours has had no certain outcome.
    bool m_hasEnded = false;
    Core::Duration m_delay;
    Core::TimerId m_patienceTimer = Core::TimerId::None;
    Core::TimerId m_deadlineTimer = Core::TimerId::None;
};

}
