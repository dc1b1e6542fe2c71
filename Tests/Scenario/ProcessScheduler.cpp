#include <Tests/Scenario/ProcessScheduler.h>

#include <utility>

namespace Scenario {

ProcessScheduler::ProcessScheduler(Core::VirtualScheduler &world)
    : m_world(world)
{
}

Core::TimePoint ProcessScheduler::now() const
{
    return m_world.now();
}

Core::TimerId ProcessScheduler::runAfter(Core::Duration delay, Task task)
{
    const auto id = ++m_lastId;
    if (m_state == ProcessState::Dead) {
        return Core::TimerId(id);
    }
    m_tasks.emplace(id, std::move(task));
    m_world.runAfter(delay, [this, id] {
        fire(id);
    });
    return Core::TimerId(id);
}

void ProcessScheduler::cancel(Core::TimerId timer)
{
    m_tasks.erase(static_cast<std::uint64_t>(timer));
}

ProcessState ProcessScheduler::state() const
{
    return m_state;
}

void ProcessScheduler::freeze()
{
    if (m_state == ProcessState::Running) {
        m_state = ProcessState::Frozen;
    }
}

void ProcessScheduler::thaw()
{
    if (m_state != ProcessState::Frozen) {
        return;
    }
    m_state = ProcessState::Running;
    for (const auto id : std::exchange(m_due, {})) {
        fire(id);
    }
}

void ProcessScheduler::kill()
{
    m_state = ProcessState::Dead;
    m_tasks.clear();
    m_due.clear();
}

void ProcessScheduler::fire(std::uint64_t id)
{
    if (m_state == ProcessState::Frozen) {
        m_due.push_back(id);
        return;
    }
    const auto found = m_state == ProcessState::Dead ? m_tasks.end() : m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    const auto task = std::move(found->second);
    m_tasks.erase(found);
    task();
}

}
