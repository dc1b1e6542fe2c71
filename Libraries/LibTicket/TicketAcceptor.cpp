#include <LibTicket/TicketAcceptor.h>

#include <LibLog/Log.h>
#include <LibTicket/TicketJson.h>
#include <algorithm>

namespace Ticket {

// One ticket on its way; rows that were read are the transaction's conditions.
struct TicketAcceptor::Submission {
    Ticket ticket;
    AcceptFunction done;
    Core::TimePoint startedAt {};
    Core::Duration retryDelay {};
    std::size_t nextObject = 0;
    bool isOutcomeUnknown = false; // A commit's answer was lost.
    std::uint64_t lastSequence = 0;
    std::vector<Platform::RowCondition> conditions;
};

namespace {

AcceptResult unreadable(std::string_view table, const std::string &key)
{
    Log::write(Log::Event::TicketRowMalformed, {{"table", std::string(table)}, {"key", key}});
    return {.outcome = AcceptOutcome::Unknown,
            .reason = "row " + key + " of table " + std::string(table) + " can't be read; mend it, then submit again"};
}

}

TicketAcceptor::TicketAcceptor(Core::Scheduler &scheduler, Platform::TableService &table, Core::IdSource &ids,
                               KnownSequenceFunction knownSequence, TicketAcceptorOptions options)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_ids(ids)
    , m_knownSequence(std::move(knownSequence))
    , m_options(options)
{
}

void TicketAcceptor::accept(Ticket ticket, AcceptFunction done)
{
    auto submission = std::make_shared<Submission>();
    submission->ticket = std::move(ticket);
    submission->done = std::move(done);
    submission->startedAt = m_scheduler.now();
    submission->retryDelay = m_options.firstRetryDelay;
    readTicketRow(submission);
}

void TicketAcceptor::readTicketRow(const SubmissionPointer &submission)
{
    submission->conditions.clear();
    submission->nextObject = 0;
    m_table.read(Tables::Tickets, numberKey(submission->ticket.number), [this, submission](const auto &result) {
        if (!result.isAvailable) {
            retryRead(submission, result.error);
            return;
        }
        if (result.row.has_value()) {
            takeTicketRow(submission, *result.row);
            return;
        }
        submission->conditions.push_back(
            {.table = std::string(Tables::Tickets), .key = numberKey(submission->ticket.number), .version = 0});
        readObjects(submission);
    });
}

// The row of an accepted ticket never changes, so that what it says is final however old the read is.
void TicketAcceptor::takeTicketRow(const SubmissionPointer &submission, const Platform::Row &row)
{
    const auto entry = feedEntryFromText(row.value);
    if (!entry.has_value()) {
        submission->done(unreadable(Tables::Tickets, row.key));
        return;
    }
    if (entry->ticket.objects != submission->ticket.objects) {
        submission->done(
            {.outcome = AcceptOutcome::NumberTaken, .reason = "the number belongs to a ticket with another content"});
        return;
    }
    submission->done({.outcome = submission->isOutcomeUnknown ? AcceptOutcome::Accepted : AcceptOutcome::AcceptedBefore,
                      .sequence = entry->sequence,
                      .entry = entry});
}

void TicketAcceptor::readObjects(const SubmissionPointer &submission)
{
    if (submission->nextObject == submission->ticket.objects.size()) {
        readFeedHead(submission);
        return;
    }
    const auto key = objectKey(submission->ticket.objects[submission->nextObject]);
    m_table.read(Tables::Objects, key, [this, submission, key](const auto &result) {
        if (!result.isAvailable) {
            retryRead(submission, result.error);
            return;
        }
        const auto number = result.row.has_value() ? numberFromText(result.row->value) : 0;
        if (!number.has_value()) {
            submission->done(unreadable(Tables::Objects, key));
            return;
        }
        if (*number > submission->ticket.number) {
            settleSuperseded(submission, key + " already carries ticket " + std::to_string(*number));
            return;
        }
        submission->conditions.push_back({.table = std::string(Tables::Objects),
                                          .key = key,
                                          .version = result.row.has_value() ? result.row->version : 0});
        ++submission->nextObject;
        readObjects(submission);
    });
}

// An object's number only rises, so that a higher one is final; but this very ticket may have been accepted before
// the higher one, with its row not yet seen. A transaction that would write nothing decides on the current rows.
void TicketAcceptor::settleSuperseded(const SubmissionPointer &submission, const std::string &reason)
{
    Platform::Transaction check {
        .conditions
        = {{.table = std::string(Tables::Tickets), .key = numberKey(submission->ticket.number), .version = 0}}};
    m_table.transact(std::move(check), [this, submission, reason](const auto &result) {
        if (result.outcome == Platform::TransactionOutcome::Committed) {
            submission->done({.outcome = AcceptOutcome::Superseded, .reason = reason});
            return;
        }
        retry(submission, result.outcome == Platform::TransactionOutcome::Conflicted ? reason : result.error);
    });
}

void TicketAcceptor::readFeedHead(const SubmissionPointer &submission)
{
    m_table.read(Tables::FeedHead, FeedHeadKey, [this, submission](const auto &result) {
        if (!result.isAvailable) {
            retryRead(submission, result.error);
            return;
        }
        const auto head = result.row.has_value() ? numberFromText(result.row->value) : 0;
        if (!head.has_value()) {
            submission->done(unreadable(Tables::FeedHead, std::string(FeedHeadKey)));
            return;
        }
        submission->lastSequence = std::max({*head, m_knownSequence(), m_lastCommitted});
        commit(submission);
    });
}

// The last sequence is surely in the feed, whichever way it was learned. That the next one isn't there yet is a
// condition, so that no sequence is left out or given twice.
void TicketAcceptor::commit(const SubmissionPointer &submission)
{
    const FeedEntry entry {.sequence = submission->lastSequence + 1, .ticket = submission->ticket};
    const auto text = toJson(entry).dump();
    Platform::Transaction transaction {.conditions = submission->conditions};
    transaction.conditions.push_back(
        {.table = std::string(Tables::Feed), .key = numberKey(entry.sequence), .version = 0});
    transaction.puts
        = {{.table = std::string(Tables::Tickets), .key = numberKey(submission->ticket.number), .value = text},
           {.table = std::string(Tables::Feed), .key = numberKey(entry.sequence), .value = text},
           {.table = std::string(Tables::FeedHead),
            .key = std::string(FeedHeadKey),
            .value = std::to_string(entry.sequence)}};
    for (const auto &object : submission->ticket.objects) {
        transaction.puts.push_back({.table = std::string(Tables::Objects),
                                    .key = objectKey(object),
                                    .value = std::to_string(submission->ticket.number)});
    }
    m_table.transact(std::move(transaction), [this, submission, entry](const auto &result) {
        switch (result.outcome) {
        case Platform::TransactionOutcome::Committed:
            m_lastCommitted = std::max(m_lastCommitted, entry.sequence);
            submission->done({.outcome = AcceptOutcome::Accepted, .sequence = entry.sequence, .entry = entry});
            return;
        case Platform::TransactionOutcome::Conflicted:
            retry(submission, "other tickets are being accepted, or the table service's reads lag");
            return;
        case Platform::TransactionOutcome::Unknown:
            submission->isOutcomeUnknown = true;
            retry(submission, result.error);
            return;
        case Platform::TransactionOutcome::NotSent:
            retryRead(submission, result.error);
            return;
        }
    });
}

void TicketAcceptor::retry(const SubmissionPointer &submission, const std::string &reason)
{
    // Jitter keeps desks that met in a conflict from meeting again.
    const auto half = submission->retryDelay / 2;
    const auto delay = half + half * static_cast<int>(m_ids.randomNumber() % 1000) / 1000;
    submission->retryDelay = std::min(submission->retryDelay * 2, m_options.longestRetryDelay);
    if (m_scheduler.now() + delay - submission->startedAt > m_options.patience) {
        submission->done({.outcome = AcceptOutcome::Unknown, .reason = reason});
        return;
    }
    m_scheduler.runAfter(delay, [this, submission] {
        readTicketRow(submission);
    });
}

// A table service that is down is reported at once, unless a commit's fate is still open.
void TicketAcceptor::retryRead(const SubmissionPointer &submission, const std::string &error)
{
    if (submission->isOutcomeUnknown) {
        retry(submission, error);
        return;
    }
    submission->done({.outcome = AcceptOutcome::Unknown, .reason = error});
}

}
