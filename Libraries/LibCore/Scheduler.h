#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>

namespace Core {

// Identifies a timer until it has run or been cancelled; None identifies no timer.
enum class TimerId : std::uint64_t { None = 0 };

// The source of time and timers for all time-dependent code. The daemon's event loop implements it in real time,
// VirtualScheduler in virtual time.
class Scheduler
{
public:
    using Task = std::function<void()>;

    virtual ~Scheduler() = default;
    // Returns the current monotonic time.
    [[nodiscard]] virtual TimePoint now() const = 0;
    // Runs the task once, after the delay. Never runs it before this call has returned, even if the delay is zero.
    virtual TimerId runAfter(Duration delay, Task task) = 0;
    // Cancels a timer. A timer that has already run, or None, is ignored.
    virtual void cancel(TimerId timer) = 0;
};

}
