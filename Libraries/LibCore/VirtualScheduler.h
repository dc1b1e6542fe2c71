#pragma once

#include <LibCore/TimerQueue.h>

namespace Core {

// A scheduler whose time moves only when it is told to. Tests and measurements of decisions run on it.
class VirtualScheduler final : public Scheduler
{
public:
    [[nodiscard]] TimePoint now() const override;
    TimerId runAfter(Duration delay, Task task) override;
    void cancel(TimerId timer) override;

    // Moves time forward by the given duration, running each timer at its own due time.
    void advance(Duration duration);

private:
    TimePoint m_now {};
    TimerQueue m_timers;
};

}
