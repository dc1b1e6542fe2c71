#pragma once

#include <LibCore/Scheduler.h>
#include <map>
#include <optional>
#include <unordered_map>

namespace Core {

// A queue of timers sorted by due time. Timers that are due at the same time keep the order in which they were added.
class TimerQueue
{
public:
    TimerId add(TimePoint due, Scheduler::Task task);
    void cancel(TimerId timer);

    // Returns the due time of the next timer, or no value if the queue is empty.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;
    // Removes the first timer that is due at the given time and returns its task, or no value if none is due.
    [[nodiscard]] std::optional<Scheduler::Task> takeDue(TimePoint now);

private:
    std::uint64_t m_lastTimer = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, Scheduler::Task> m_tasks;
    std::unordered_map<std::uint64_t, TimePoint> m_dueTimes;
};

}
