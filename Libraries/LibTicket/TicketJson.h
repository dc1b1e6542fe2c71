#pragma once

#include <LibTicket/Ticket.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Ticket {

// A ticket whose content can't be accepted; every mistake is named, one a line.
class InvalidTicket : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

[[nodiscard]] nlohmann::json toJson(const Ticket &ticket);
// Reads and checks a ticket. Throws InvalidTicket naming every mistake at once.
[[nodiscard]] Ticket ticketFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const FeedEntry &entry);
[[nodiscard]] FeedEntry feedEntryFromJson(const nlohmann::json &json);

}
