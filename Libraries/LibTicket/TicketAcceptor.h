#pragma once

#include <LibCore/IdSource.h>
#include <LibCore/Scheduler.h>
#include <LibPlatform/TableService.h>
#include <LibTicket/Ticket.h>
#include <LibTicket/TicketTables.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Ticket {

enum class AcceptOutcome {
    Accepted,
    // A ticket with the same number and content was accepted earlier.
    AcceptedBefore,
    // A ticket with the same number and different content was accepted earlier.
    NumberTaken,
    // A ticket with a higher number has already changed one of the ticket's objects.
    Superseded,
    // The table service didn't respond, conflicts lasted until the timeout, or a stored row is malformed. The ticket
    // may or may not have been accepted; submit it again.
    Unknown,
};

struct AcceptResult {
    AcceptOutcome outcome = AcceptOutcome::Unknown;
    std::uint64_t sequence = 0; // Set if the ticket is accepted.
    std::string reason; // Why the ticket isn't known to be accepted.
    std::optional<FeedEntry> entry; // Set if the ticket is accepted.
};

struct TicketAcceptorOptions {
    Core::Duration initialRetryDelay = std::chrono::milliseconds(20);
    Core::Duration maxRetryDelay = std::chrono::milliseconds(1000);
    Core::Duration timeout = std::chrono::seconds(20); // A submission that takes longer ends as Unknown.
};

// Accepts tickets. Each ticket is one transaction on the table service, which writes the ticket's row, the new number
// of every object that it changes and the next entry of the feed. Several hosts may accept tickets at the same time.
// Reads may be stale, so they only supply the conditions of the transaction. A refusal that current rows could
// contradict is confirmed by a transaction as well.
class TicketAcceptor
{
public:
    using AcceptFunction = std::function<void(AcceptResult)>;
    // Returns the highest sequence that this host knows to be in the feed, or zero.
    using KnownSequenceFunction = std::function<std::uint64_t()>;

    TicketAcceptor(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
                   KnownSequenceFunction knownSequence, TicketAcceptorOptions options = {});

    // Accepts or refuses all changes of the ticket together.
    void accept(Ticket ticket, AcceptFunction done);

private:
    struct Submission;
    using SubmissionPointer = std::shared_ptr<Submission>;

    void readTicketRow(const SubmissionPointer &submission);
    void handleTicketRow(const SubmissionPointer &submission, const Platform::Row &row);
    void readObjects(const SubmissionPointer &submission);
    void confirmSuperseded(const SubmissionPointer &submission, const std::string &reason);
    void readFeedHead(const SubmissionPointer &submission);
    void commit(const SubmissionPointer &submission);
    void retry(const SubmissionPointer &submission, const std::string &reason);
    void retryRead(const SubmissionPointer &submission, const std::string &error);

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    Core::IdSource &m_ids;
    KnownSequenceFunction m_knownSequence;
    TicketAcceptorOptions m_options;
    std::uint64_t m_lastCommitted = 0;
};

}
