#pragma once

#include <LibTicket/Ticket.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>

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
// Reads the text of a feed row or ticket row; without a value it holds no entry.
[[nodiscard]] std::optional<FeedEntry> feedEntryFromText(std::string_view text);

}
