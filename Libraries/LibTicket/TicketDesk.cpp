#include <LibTicket/TicketDesk.h>

#include <LibTicket/TicketJson.h>

namespace Ticket {

namespace {

constexpr int MostTries = 20;
constexpr std::size_t NumberKeyDigits = 20;
constexpr std::string_view HeadKey = "head";

}

// One ticket on its way; rows that were read are the transaction's conditions.
struct TicketDesk::Submission {
    Ticket ticket;
    AcceptFunction done;
    int tries = 0;
    std::size_t nextObject = 0;
    bool isOutcomeUnknown = false; // A commit's answer was lost.
    std::uint64_t lastSequence = 0;
    std::vector<Platform::RowCondition> conditions;
};

std::string numberKey(std::uint64_t number)
{
    auto digits = std::to_string(number);
    return std::string(NumberKeyDigits - digits.size(), '0') + digits;
}

TicketDesk::TicketDesk(Platform::TableService &table)
    : m_table(table)
{
}

void TicketDesk::accept(Ticket ticket, AcceptFunction done)
{
    auto submission = std::make_shared<Submission>();
    submission->ticket = std::move(ticket);
    submission->done = std::move(done);
    readTicketRow(submission);
}

void TicketDesk::readTicketRow(const std::shared_ptr<Submission> &submission)
{
    submission->conditions.clear();
    submission->nextObject = 0;
    m_table.read(Tables::Tickets, numberKey(submission->ticket.number), [this, submission](const auto &result) {
        if (!result.isAvailable) {
            submission->done({.outcome = AcceptOutcome::Unknown, .reason = result.error});
            return;
        }
        if (result.row.has_value()) {
            const auto entry = feedEntryFromJson(nlohmann::json::parse(result.row->value));
            const bool isSame = entry.ticket.objects == submission->ticket.objects;
            submission->done({.outcome = !isSame                 ? AcceptOutcome::NumberTaken
                                  : submission->isOutcomeUnknown ? AcceptOutcome::Accepted
                                                                 : AcceptOutcome::AcceptedBefore,
                              .sequence = entry.sequence,
                              .reason = isSame ? "" : "the number belongs to a ticket with another content"});
            return;
        }
        submission->conditions.push_back(
            {.table = std::string(Tables::Tickets), .key = numberKey(submission->ticket.number), .version = 0});
        readObjects(submission);
    });
}

void TicketDesk::readObjects(const std::shared_ptr<Submission> &submission)
{
    if (submission->nextObject == submission->ticket.objects.size()) {
        readFeedHead(submission);
        return;
    }
    const auto key = objectKey(submission->ticket.objects[submission->nextObject]);
    m_table.read(Tables::Objects, key, [this, submission, key](const auto &result) {
        if (!result.isAvailable) {
            submission->done({.outcome = AcceptOutcome::Unknown, .reason = result.error});
            return;
        }
        const auto number = result.row.has_value() ? std::stoull(result.row->value) : 0;
        if (number > submission->ticket.number) {
            submission->done({.outcome = AcceptOutcome::Superseded,
                              .reason = key + " already carries ticket " + std::to_string(number)});
            return;
        }
        submission->conditions.push_back({.table = std::string(Tables::Objects),
                                          .key = key,
                                          .version = result.row.has_value() ? result.row->version : 0});
        ++submission->nextObject;
        readObjects(submission);
    });
}

void TicketDesk::readFeedHead(const std::shared_ptr<Submission> &submission)
{
    m_table.read(Tables::FeedHead, HeadKey, [this, submission](const auto &result) {
        if (!result.isAvailable) {
            submission->done({.outcome = AcceptOutcome::Unknown, .reason = result.error});
            return;
        }
        submission->lastSequence = result.row.has_value() ? std::stoull(result.row->value) : 0;
        submission->conditions.push_back({.table = std::string(Tables::FeedHead),
                                          .key = std::string(HeadKey),
                                          .version = result.row.has_value() ? result.row->version : 0});
        commit(submission);
    });
}

void TicketDesk::commit(const std::shared_ptr<Submission> &submission)
{
    const FeedEntry entry {.sequence = submission->lastSequence + 1, .ticket = submission->ticket};
    const auto text = toJson(entry).dump();
    Platform::Transaction transaction {.conditions = submission->conditions};
    transaction.puts = {
        {.table = std::string(Tables::Tickets), .key = numberKey(submission->ticket.number), .value = text},
        {.table = std::string(Tables::Feed), .key = numberKey(entry.sequence), .value = text},
        {.table = std::string(Tables::FeedHead), .key = std::string(HeadKey), .value = std::to_string(entry.sequence)}};
    for (const auto &object : submission->ticket.objects) {
        transaction.puts.push_back({.table = std::string(Tables::Objects),
                                    .key = objectKey(object),
                                    .value = std::to_string(submission->ticket.number)});
    }
    m_table.transact(std::move(transaction), [this, submission, sequence = entry.sequence](const auto &result) {
        switch (result.outcome) {
        case Platform::TransactionOutcome::Committed:
            submission->done({.outcome = AcceptOutcome::Accepted, .sequence = sequence});
            return;
        case Platform::TransactionOutcome::Conflicted:
            retry(submission);
            return;
        case Platform::TransactionOutcome::Unknown:
            submission->isOutcomeUnknown = true;
            retry(submission);
            return;
        case Platform::TransactionOutcome::NotSent:
            submission->done({.outcome = AcceptOutcome::Unknown, .reason = result.error});
            return;
        }
    });
}

void TicketDesk::retry(const std::shared_ptr<Submission> &submission)
{
    if (++submission->tries == MostTries) {
        submission->done({.outcome = AcceptOutcome::Unknown, .reason = "too many tickets at once; submit it again"});
        return;
    }
    readTicketRow(submission);
}

}
