#pragma once

#include <LibPlatform/TableService.h>
#include <LibTicket/Ticket.h>
#include <functional>
#include <memory>
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
};

// Accepts tickets by one transaction each on the table service: the ticket's row, the new number of every
// object it touches and the next entry of the feed. Several hosts may accept at the same time.
class TicketDesk
{
public:
    using AcceptFunction = std::function<void(AcceptResult)>;

    explicit TicketDesk(Platform::TableService &table);

    // Accepts or refuses a ticket as a whole.
    void accept(Ticket ticket, AcceptFunction done);

private:
    struct Submission;

    void readTicketRow(const std::shared_ptr<Submission> &submission);
    void readObjects(const std::shared_ptr<Submission> &submission);
    void readFeedHead(const std::shared_ptr<Submission> &submission);
    void commit(const std::shared_ptr<Submission> &submission);
    void retry(const std::shared_ptr<Submission> &submission);

    Platform::TableService &m_table;
};

// Names of the tables and the key forms that the desk and the feed share.
namespace Tables {
constexpr std::string_view Tickets = "tickets"; // By number.
constexpr std::string_view Objects = "ticket-objects"; // By object key; the value is the ticket's number.
constexpr std::string_view Feed = "ticket-feed"; // By sequence.
constexpr std::string_view FeedHead = "ticket-feed-head"; // One row, whose value is the last sequence.
}

// A number as a key that sorts in numeric order.
[[nodiscard]] std::string numberKey(std::uint64_t number);

}
