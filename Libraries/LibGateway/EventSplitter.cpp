#include <LibGateway/EventSplitter.h>

#include <algorithm>
#include <charconv>

namespace Gateway {

namespace {

constexpr std::string_view IdField = "id:";

// The number in the event's "id" line, if there is one.
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

// The longest sequence of line ends that separates two events.
constexpr std::size_t MaxSeparatorBytes = 4;

// The end of the first complete event, after its empty line, or npos. Searches from an offset, before which there is
// none.
std::size_t endOfEvent(std::string_view bytes, std::size_t from)
{
    const auto lineFeeds = bytes.find("\n\n", from);
    const auto carriageReturns = bytes.find("\r\n\r\n", from);
    if (lineFeeds == std::string_view::npos && carriageReturns == std::string_view::npos) {
        return std::string_view::npos;
    }
    return carriageReturns < lineFeeds ? carriageReturns + 4 : lineFeeds + 2;
}

}

EventSplitter::Sequence EventSplitter::split(std::string_view bytes, std::string &output)
{
    m_partial += bytes;
    std::string_view rest = m_partial;
    auto sequence = Sequence::Consecutive;
    auto from = m_searched - std::min(m_searched, MaxSeparatorBytes);
    for (auto end = endOfEvent(rest, from); end != std::string_view::npos; end = endOfEvent(rest, 0)) {
        const auto event = rest.substr(0, end);
        rest.remove_prefix(end);
        const auto id = idOf(event);
        if (id.has_value() && m_lastId.has_value() && *id <= *m_lastId) {
            continue;
        }
        if (id.has_value() && m_lastId.has_value() && *id != *m_lastId + 1) {
            sequence = Sequence::Gap;
            break;
        }
        if (id.has_value()) {
            m_lastId = id;
        }
        output += event;
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    m_searched = m_partial.size();
    return m_partial.size() > MaxEventBytes ? Sequence::TooLong : sequence;
}

void EventSplitter::dropPartial()
{
    m_partial.clear();
    m_searched = 0;
}

const std::string &EventSplitter::partial() const
{
    return m_partial;
}

bool EventSplitter::isInsideEvent() const
{
    return m_partial.find_first_not_of("\r\n") != std::string::npos;
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
