#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace Placement {

// Measures the time between the events of one stream. Events that arrive together are counted as that many steps, as a
// host without processor time reads several at once. An engine that begins another prompt interrupts its streams, which
// isn't a slow step: the shorter of two successive spans counts.
class EventSpans
{
public:
    // Records events that arrived at once. Returns the time for each event at the end of a span.
    std::optional<Core::Duration> record(std::uint64_t events, Core::TimePoint now);

private:
    std::optional<Core::TimePoint> m_spanBegan;
    std::uint64_t m_events = 0; // Events since the span began.
    std::optional<Core::Duration> m_last; // Time for each event in the last span.
};

}
