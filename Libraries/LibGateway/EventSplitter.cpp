#include <LibGateway/EventSplitter.h>

#include <charconv>

namespace Gateway {

namespace {

constexpr std::string_view IdField = "id:";

// The number of an event's "id" line, without a value when it has none.
std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        return error == std::errc() ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

// Where the first whole event ends, behind its empty line.
std::size_t endOfEvent(std::string_view bytes)
{
    const auto bare = bytes.find("\n\n");
    const auto withReturns = bytes.find("\r\n\r\n");
    if (bare == std::string_view::npos && withReturns == std::string_view::npos) {
        return std::string_view::npos;
    }
    return withReturns < bare ? withReturns + 4 : bare + 2;
}

}

EventSplitter::Order EventSplitter::take(std::string_view bytes, std::string &output)
{
    m_partial += bytes;
    std::string_view rest = m_partial;
    auto order = Order::Kept;
    for (auto end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
        const auto event = rest.substr(0, end);
        rest.remove_prefix(end);
        const auto id = idOf(event);
        if (id.has_value() && m_lastId.has_value() && *id <= *m_lastId) {
            continue;
        }
        if (id.has_value() && m_lastId.has_value() && *id != *m_lastId + 1) {
            order = Order::Broken;
            break;
        }
        if (id.has_value()) {
            m_lastId = id;
        }
        output += event;
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return order;
}

void EventSplitter::dropPartial()
{
    m_partial.clear();
}

const std::string &EventSplitter::partial() const
{
    return m_partial;
}

const std::optional<std::uint64_t> &EventSplitter::lastId() const
{
    return m_lastId;
}

void EventSplitter::setLastId(std::uint64_t id)
{
    m_lastId = id;
}

}
