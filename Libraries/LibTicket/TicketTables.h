#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Ticket {

// Names of the tables that the desk and the feed share.
namespace Tables {
constexpr std::string_view Tickets = "tickets"; // By number; a row never changes.
constexpr std::string_view Objects = "ticket-objects"; // By object key; the value is the ticket's number.
constexpr std::string_view Feed = "ticket-feed"; // By sequence; a row never changes.
constexpr std::string_view FeedHead = "ticket-feed-head"; // One row, whose value is the last sequence.
}

constexpr std::string_view FeedHeadKey = "head";

// A number as a key that sorts in numeric order.
[[nodiscard]] std::string numberKey(std::uint64_t number);
// The number that a text of digits alone stands for; without a value it is no such text or too large.
[[nodiscard]] std::optional<std::uint64_t> numberFromText(std::string_view text);

}
