#pragma once

#include <LibTicket/Ticket.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace Ticket {

// Thrown for a ticket with invalid content. The message has one line for each error.
class InvalidTicket : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

[[nodiscard]] nlohmann::json toJson(const Ticket &ticket);
// Parses and validates a ticket. Throws InvalidTicket with all errors.
[[nodiscard]] Ticket ticketFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const FeedEntry &entry);
// Parses the value of a feed row or ticket row. Returns no value if it isn't a valid entry.
[[nodiscard]] std::optional<FeedEntry> feedEntryFromText(std::string_view text);

}
