#include <LibCore/TimerQueue.h>

namespace Core {

TimerId TimerQueue::add(TimePoint due, Scheduler::Task task)
{
    const auto id = ++m_lastTimer;
    m_tasks.emplace(std::pair(due, id), std::move(task));
    m_dueTimes.emplace(id, due);
    return TimerId(id);
}

void TimerQueue::cancel(TimerId timer)
{
    const auto id = static_cast<std::uint64_t>(timer);
    if (const auto found = m_dueTimes.find(id); found != m_dueTimes.end()) {
        m_tasks.erase(std::pair(found->second, id));
        m_dueTimes.erase(found);
    }
}

std::optional<TimePoint> TimerQueue::nextDue() const
{
    if (m_tasks.empty()) {
        return std::nullopt;
    }
    return m_tasks.begin()->first.first;
}

std::optional<Scheduler::Task> TimerQueue::takeDue(TimePoint now)
{
    if (m_tasks.empty() || m_tasks.begin()->first.first > now) {
        return std::nullopt;
    }
    const auto first = m_tasks.begin();
    auto task = std::move(first->second);
    m_dueTimes.erase(first->first.second);
    m_tasks.erase(first);
    return task;
}

}
