#include <LibTicket/TicketAcceptor.h>

#include <LibLog/Log.h>
#include <LibTicket/TicketJson.h>
#include <algorithm>

namespace Ticket {

// A ticket that is being accepted, with the conditions of its transaction.
struct TicketAcceptor::Submission {
    Ticket ticket;
    AcceptFunction done;
    Core::TimePoint startedAt {};
    Core::Duration retryDelay {};
    std::size_t nextObject = 0;
    bool isOutcomeUnknown = false; // The outcome of an earlier commit is unknown.
    std::uint64_t lastSequence = 0;
    std::vector<Platform::RowCondition> conditions;
};

namespace {

AcceptResult malformedRow(std::string_view table, const std::string &key)
{
    Log::write(Log::Event::TicketRowMalformed, {{"table", std::string(table)}, {"key", key}});
    return {.outcome = AcceptOutcome::Unknown,
            .reason = "row " + key + " of table " + std::string(table)
                + " is malformed; repair the row and submit the ticket again"};
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
    submission->retryDelay = m_options.initialRetryDelay;
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
            handleTicketRow(submission, *result.row);
            return;
        }
        submission->conditions.push_back(
            {.table = std::string(Tables::Tickets), .key = numberKey(submission->ticket.number), .version = 0});
        readObjects(submission);
    });
}

// The row of an accepted ticket never changes, so its content is final even if the read is stale.
void TicketAcceptor::handleTicketRow(const SubmissionPointer &submission, const Platform::Row &row)
{
    const auto entry = feedEntryFromText(row.value);
    if (!entry.has_value()) {
        submission->done(malformedRow(Tables::Tickets, row.key));
        return;
    }
    if (entry->ticket.objects != submission->ticket.objects) {
        submission->done(
            {.outcome = AcceptOutcome::NumberTaken, .reason = "the number belongs to a ticket with different content"});
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
            submission->done(malformedRow(Tables::Objects, key));
            return;
        }
        if (*number > submission->ticket.number) {
            confirmSuperseded(submission, key + " was already changed by ticket " + std::to_string(*number));
            return;
        }
        submission->conditions.push_back({.table = std::string(Tables::Objects),
                                          .key = key,
                                          .version = result.row.has_value() ? result.row->version : 0});
        ++submission->nextObject;
        readObjects(submission);
    });
}

// The number of an object only increases, so reading a higher one is conclusive. But this ticket may have been accepted
// before the ticket with the higher number, and a stale read may not show its row yet. A transaction without writes
// checks the current rows.
void TicketAcceptor::confirmSuperseded(const SubmissionPointer &submission, const std::string &reason)
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
            submission->done(malformedRow(Tables::FeedHead, std::string(FeedHeadKey)));
            return;
        }
        submission->lastSequence = std::max({*head, m_knownSequence(), m_lastCommitted});
        commit(submission);
    });
}

// The last sequence is known to be in the feed. The transaction requires that the feed has no entry with the next
// sequence yet, so no sequence is skipped or assigned twice.
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
            retry(submission,
                  "conflict with other tickets that are being accepted, or stale reads from the table service");
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
    // Jitter keeps hosts whose transactions conflicted from retrying at the same time.
    const auto half = submission->retryDelay / 2;
    const auto delay = half + half * static_cast<int>(m_ids.randomNumber() % 1000) / 1000;
    submission->retryDelay = std::min(submission->retryDelay * 2, m_options.maxRetryDelay);
    if (m_scheduler.now() + delay - submission->startedAt > m_options.timeout) {
        submission->done({.outcome = AcceptOutcome::Unknown, .reason = reason});
        return;
    }
    m_scheduler.runAfter(delay, [this, submission] {
        readTicketRow(submission);
    });
}

// Reports an unavailable table service at once, unless the outcome of a commit is still unknown.
void TicketAcceptor::retryRead(const SubmissionPointer &submission, const std::string &error)
{
    if (submission->isOutcomeUnknown) {
        retry(submission, error);
        return;
    }
    submission->done({.outcome = AcceptOutcome::Unknown, .reason = error});
}

}
