#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Ticket {

// The tables of the table service that store tickets.
namespace Tables {
constexpr std::string_view Tickets = "tickets"; // Keyed by ticket number; rows never change.
constexpr std::string_view Objects = "ticket-objects"; // Keyed by object; values are ticket numbers.
constexpr std::string_view Feed = "ticket-feed"; // Keyed by sequence; rows never change.
constexpr std::string_view FeedHead = "ticket-feed-head"; // A single row whose value is the last sequence.
}

constexpr std::string_view FeedHeadKey = "head";

// Returns the number padded with zeros, so that keys sort in numeric order.
[[nodiscard]] std::string numberKey(std::uint64_t number);
// Parses a decimal number. Returns no value if the text has other characters than digits or the number is too large.
[[nodiscard]] std::optional<std::uint64_t> numberFromText(std::string_view text);

}
