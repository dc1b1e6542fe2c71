#pragma once

#include <LibCore/TimerQueue.h>
#include <functional>
#include <map>
#include <memory>
#include <vector>

class ACE_Reactor;
class ACE_Event_Handler;

namespace Net {

// The event loop of a process: an ACE reactor for descriptors, with a queue of timers and tasks.
// All handlers and tasks run on the thread that calls run().
class EventLoop final : public Core::Scheduler
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    [[nodiscard]] Core::TimePoint now() const override;
    Core::TimerId runAfter(Core::Duration delay, Task task) override;
    void cancel(Core::TimerId timer) override;

    // Runs the task once, after the current handler has returned.
    void post(Task task);
    // Calls the handler whenever the descriptor is readable, until unwatch() is called or the loop is destroyed.
    // Throws StepError when the descriptor can't be registered.
    void watchReadable(int fd, Task handler);
    // Stops calling the descriptor's handler. The caller keeps the descriptor open until then and closes it itself.
    void unwatch(int fd);
    // Calls the handler after the process has received the signal, once for all that have arrived since the last call.
    // A signal that was recorded before counts too (see Signals.h).
    void watchSignal(int signalNumber, Task handler);

    // Processes events until stop() is called. An exception that leaves a handler or task leaves run(), which ends the
    // process: the state that the handler was changing isn't known any more (docs/incidents/name-that-is-not-utf8.md).
    void run();
    void stop();

private:
    void runDueTimers();
    void runPostedTasks();
    void handleSignals();

    std::unique_ptr<ACE_Reactor> m_reactor;
    Core::TimerQueue m_timers;
    std::vector<Task> m_posted;
    std::vector<std::unique_ptr<ACE_Event_Handler>> m_handlers;
    std::map<int, Task> m_signalHandlers; // By signal number.
    bool m_isStopped = false;
};

}
