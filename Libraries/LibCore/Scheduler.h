#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>

namespace Core {

// Names a timer until it has run or been cancelled. Zero names none.
enum class TimerId : std::uint64_t { None = 0 };

// The clock and timers that decisions are given. The daemon's event loop implements it in real time,
// tests in virtual time.
class Scheduler
{
public:
    using Task = std::function<void()>;

    virtual ~Scheduler() = default;
    // The current monotonic time.
    [[nodiscard]] virtual TimePoint now() const = 0;
    // Runs the task once, when the delay has passed. Never runs it inside this call.
    virtual TimerId runAfter(Duration delay, Task task) = 0;
    // Forgets a timer. A timer that has run already, or None, is ignored.
    virtual void cancel(TimerId timer) = 0;
};

}
