#pragma once

#include <LibCore/TimerQueue.h>

namespace Core {

// A scheduler whose time advances only on request, for deterministic tests and simulations.
class VirtualScheduler final : public Scheduler
{
public:
    [[nodiscard]] TimePoint now() const override;
    TimerId runAfter(Duration delay, Task task) override;
    void cancel(TimerId timer) override;

    // Advances the time by the duration and runs each timer at its due time, including timers added on the way.
    void advance(Duration duration);

private:
    TimePoint m_now {};
    TimerQueue m_timers;
};

}
