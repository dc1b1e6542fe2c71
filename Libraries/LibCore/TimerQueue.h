#pragma once

#include <LibCore/Scheduler.h>
#include <map>
#include <optional>
#include <unordered_map>

namespace Core {

// Timers in order of their due time; timers due at the same time run in the order they were added.
class TimerQueue
{
public:
    TimerId add(TimePoint due, Scheduler::Task task);
    void cancel(TimerId timer);

    // When the next timer is due, if there is one.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;
    // Takes the first timer that is due at the given time, if there is one.
    [[nodiscard]] std::optional<Scheduler::Task> takeDue(TimePoint now);

private:
    std::uint64_t m_lastTimer = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, Scheduler::Task> m_tasks;
    std::unordered_map<std::uint64_t, TimePoint> m_dueTimes;
};

}
