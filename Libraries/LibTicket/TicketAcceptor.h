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
    // The same ticket, with the same content, had been accepted before.
    AcceptedBefore,
    // The number belongs to a ticket with another content.
    NumberTaken,
    // An object that the ticket touches already carries a higher number.
    Superseded,
    // The table service didn't answer; the ticket may or may not have been accepted. Submit it again.
    Unknown,
};

struct AcceptResult {
    AcceptOutcome outcome = AcceptOutcome::Unknown;
    std::uint64_t sequence = 0; // Of an accepted ticket.
    std::string reason;
    std::optional<FeedEntry> entry; // Of an accepted ticket.
};

struct TicketAcceptorOptions {
    Core::Duration firstRetryDelay = std::chrono::milliseconds(20);
    Core::Duration longestRetryDelay = std::chrono::milliseconds(1000);
    Core::Duration patience = std::chrono::seconds(20); // After this a submission ends as unknown.
};

// Accepts tickets by one transaction each on the table service: the ticket's row, the new number of every
// object it touches and the next entry of the feed. Several hosts may accept at the same time. Reads only
// propose the transaction's conditions; since they may lag, every refusal that later writes could turn into an
// acceptance is settled by a transaction too.
class TicketAcceptor
{
public:
    using AcceptFunction = std::function<void(AcceptResult)>;
    // A sequence that is known to be in the feed; zero when none is.
    using KnownSequenceFunction = std::function<std::uint64_t()>;

    TicketAcceptor(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
                   KnownSequenceFunction knownSequence, TicketAcceptorOptions options = {});

    // Accepts or refuses a ticket as a whole.
    void accept(Ticket ticket, AcceptFunction done);

private:
    struct Submission;
    using SubmissionPointer = std::shared_ptr<Submission>;

    void readTicketRow(const SubmissionPointer &submission);
    void takeTicketRow(const SubmissionPointer &submission, const Platform::Row &row);
    void readObjects(const SubmissionPointer &submission);
    void settleSuperseded(const SubmissionPointer &submission, const std::string &reason);
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
