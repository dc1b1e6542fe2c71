#include <LibTicket/TicketTables.h>

#include <charconv>

namespace Ticket {

namespace {

constexpr std::size_t NumberKeyDigits = 20;

}

std::string numberKey(std::uint64_t number)
{
    auto digits = std::to_string(number);
    return std::string(NumberKeyDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> numberFromText(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

}
