#pragma once

#include <chrono>

namespace Core {

// The monotonic clock for all deadlines, leases and timers. The wall clock is used in traces only.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Truncates a duration to whole milliseconds, for messages and logs.
[[nodiscard]] inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}
