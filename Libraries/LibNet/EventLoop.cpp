#include <LibNet/EventLoop.h>

#include <LibCore/StepError.h>
#include <LibNet/Signals.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ctime>

namespace Net {

namespace {

constexpr auto MaxWait = std::chrono::milliseconds(1000);

// Calls a function for the events of one descriptor.
class FunctionHandler final : public ACE_Event_Handler
{
public:
    FunctionHandler(ACE_HANDLE handle, EventLoop::Task task)
        : m_handle(handle)
        , m_task(std::move(task))
    {
    }

    [[nodiscard]] ACE_HANDLE get_handle() const override
    {
        return m_handle;
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        m_task();
        return 0;
    }

private:
    ACE_HANDLE m_handle;
    EventLoop::Task m_task;
};

}

EventLoop::EventLoop()
    : m_reactor(std::make_unique<ACE_Reactor>(new ACE_Dev_Poll_Reactor(ACE::max_handles()), true))
{
}

EventLoop::~EventLoop()
{
    m_reactor->close();
}

Core::TimePoint EventLoop::now() const
{
    // CLOCK_BOOTTIME, unlike the steady clock, includes the time for which the machine was suspended. Leases and
    // deadlines must expire during that time too.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Core::TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

Core::TimerId EventLoop::runAfter(Core::Duration delay, Task task)
{
    return m_timers.add(now() + delay, std::move(task));
}

void EventLoop::cancel(Core::TimerId timer)
{
    m_timers.cancel(timer);
}

void EventLoop::post(Task task)
{
    m_posted.push_back(std::move(task));
}

void EventLoop::watchReadable(int fd, Task handler)
{
    auto entry = std::make_unique<FunctionHandler>(fd, std::move(handler));
    if (m_reactor->register_handler(entry.get(), ACE_Event_Handler::READ_MASK) != 0) {
        throw Core::StepError("watch descriptor", "descriptor " + std::to_string(fd), std::strerror(errno));
    }
    m_handlers.push_back(std::move(entry));
}

void EventLoop::unwatch(int fd)
{
    m_reactor->remove_handler(fd, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    // unwatch() may be called from the handler itself, so the handler is destroyed only after it has returned.
    post([this, fd] {
        std::erase_if(m_handlers, [fd](const auto &handler) {
            return handler->get_handle() == fd;
        });
    });
}

void EventLoop::watchSignal(int signalNumber, Task handler)
{
    recordSignals({signalNumber});
    if (m_signalHandlers.empty()) {
        watchReadable(recordedSignalsFd(), [this] {
            handleSignals();
        });
    }
    m_signalHandlers[signalNumber] = std::move(handler);
}

void EventLoop::handleSignals()
{
    clearRecordedSignalsFd();
    for (const auto &[number, handler] : m_signalHandlers) {
        if (takeRecordedSignal(number)) {
            handler();
        }
    }
}

void EventLoop::run()
{
    m_isStopped = false;
    while (!m_isStopped) {
        runDueTimers();
        runPostedTasks();
        if (m_isStopped) {
            break;
        }
        auto wait = std::chrono::duration_cast<std::chrono::microseconds>(MaxWait);
        if (!m_posted.empty()) {
            wait = {};
        } else if (const auto due = m_timers.nextDue()) {
            const auto untilDue = std::chrono::ceil<std::chrono::microseconds>(*due - now());
            wait = std::clamp(untilDue, std::chrono::microseconds(0), wait);
        }
        ACE_Time_Value timeout(0, static_cast<suseconds_t>(wait.count()));
        m_reactor->handle_events(timeout);
    }
}

void EventLoop::stop()
{
    m_isStopped = true;
}

void EventLoop::runDueTimers()
{
    while (auto task = m_timers.takeDue(now())) {
        (*task)();
    }
}

void EventLoop::runPostedTasks()
{
    std::vector<Task> tasks;
    tasks.swap(m_posted);
    for (const auto &task : tasks) {
        task();
    }
}

}
