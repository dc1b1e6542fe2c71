#pragma once

#include <LibCore/VirtualScheduler.h>
#include <map>
#include <vector>

namespace Scenario {

enum class ProcessState { Running, Frozen, Dead };

// The timers of one simulated process on the world's clock. A frozen process runs its due timers when it is
// thawed, as after SIGCONT; a dead one never runs them.
class ProcessScheduler final : public Core::Scheduler
{
public:
    explicit ProcessScheduler(Core::VirtualScheduler &world);

    [[nodiscard]] Core::TimePoint now() const override;
    Core::TimerId runAfter(Core::Duration delay, Task task) override;
    void cancel(Core::TimerId timer) override;

    [[nodiscard]] ProcessState state() const;
    void freeze();
    void thaw();
    void kill();

private:
    void fire(std::uint64_t id);

    Core::VirtualScheduler &m_world;
    ProcessState m_state = ProcessState::Running;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Task> m_tasks;
    std::vector<std::uint64_t> m_due;
};

}
