#include <LibPlacement/EventSpans.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

// Long enough that the time at which a host reads an event matters little, and short enough for a stall to show in two
// spans, which take about 100 ms then.
constexpr std::uint64_t MinEventsOfSpan = 3;

}

std::optional<Core::Duration> EventSpans::record(std::uint64_t events, Core::TimePoint now)
{
    if (!m_spanBegan.has_value()) {
        m_spanBegan = now;
        return std::nullopt;
    }
    m_events += events;
    if (m_events < MinEventsOfSpan) {
        return std::nullopt;
    }
    const auto time = (now - *m_spanBegan) / static_cast<Core::Duration::rep>(m_events);
    const auto last = std::exchange(m_last, time);
    m_spanBegan = now;
    m_events = 0;
    return last.has_value() ? std::optional(std::min(*last, time)) : std::nullopt;
}

}
