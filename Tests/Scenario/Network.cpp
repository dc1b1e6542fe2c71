#include <Tests/Scenario/Network.h>

namespace Scenario {

namespace {

constexpr auto OrdinaryDelay = std::chrono::microseconds(1500);

}

void Network::deliver(const std::string &from, const std::string &to, ProcessScheduler &receiver,
                      Core::Scheduler::Task task)
{
    if (isCut(from, to)) {
        return;
    }
    const auto slow = m_delays.find({from, to});
    const Core::Duration delay = slow == m_delays.end() ? Core::Duration(OrdinaryDelay) : slow->second;
    receiver.runAfter(delay, task);
    if (m_duplicateAfter > Core::Duration::zero()) {
        receiver.runAfter(delay + m_duplicateAfter, std::move(task));
    }
}

void Network::cut(const std::string &from, const std::string &to)
{
    m_cuts.insert({from, to});
}

void Network::mend(const std::string &from, const std::string &to)
{
    m_cuts.erase({from, to});
}

void Network::mendAll()
{
    m_cuts.clear();
}

bool Network::isCut(const std::string &from, const std::string &to) const
{
    return m_cuts.contains({from, to});
}

void Network::setDelay(const std::string &from, const std::string &to, Core::Duration delay)
{
    if (delay == Core::Duration::zero()) {
        m_delays.erase({from, to});
    } else {
        m_delays[{from, to}] = delay;
    }
}

void Network::setDuplicates(Core::Duration after)
{
    m_duplicateAfter = after;
}

}
