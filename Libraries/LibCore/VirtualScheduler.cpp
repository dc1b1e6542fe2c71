#include <LibCore/VirtualScheduler.h>

namespace Core {

TimePoint VirtualScheduler::now() const
{
    return m_now;
}

TimerId VirtualScheduler::runAfter(Duration delay, Task task)
{
    return m_timers.add(m_now + delay, std::move(task));
}

void VirtualScheduler::cancel(TimerId timer)
{
    m_timers.cancel(timer);
}

void VirtualScheduler::advance(Duration duration)
{
    const auto end = m_now + duration;
    while (const auto due = m_timers.nextDue()) {
        if (*due > end) {
            break;
        }
        m_now = std::max(m_now, *due);
        if (auto task = m_timers.takeDue(m_now)) {
            (*task)();
        }
    }
    m_now = end;
}

}
