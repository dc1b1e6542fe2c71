#pragma once

#include <chrono>

namespace Core {

// The monotonic clock that every deadline, lease and timer is counted on. Wall clocks are used in traces only.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Whole milliseconds of a duration, for messages and logs.
[[nodiscard]] inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}
