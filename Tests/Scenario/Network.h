#pragma once

#include <Tests/Scenario/ProcessScheduler.h>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace Scenario {

// What connects the processes of a scenario. Names are those of hosts, engines and services, and "platform".
class Network
{
public:
    Network() = default;

    // Runs the task at the receiver after the link's delay, unless the link is cut.
    void deliver(const std::string &from, const std::string &to, ProcessScheduler &receiver,
                 Core::Scheduler::Task task);
    // Cuts one direction of a link, or mends it.
    void cut(const std::string &from, const std::string &to);
    void mend(const std::string &from, const std::string &to);
    void mendAll();
    [[nodiscard]] bool isCut(const std::string &from, const std::string &to) const;
    // Sets one direction's delay; zero restores the ordinary one.
    void setDelay(const std::string &from, const std::string &to, Core::Duration delay);
    // While set, every delivery arrives a second time after the given duration.
    void setDuplicates(Core::Duration after);

private:
    using Link = std::pair<std::string, std::string>;

    std::set<Link> m_cuts;
    std::map<Link, Core::Duration> m_delays;
    Core::Duration m_duplicateAfter {};
};

}
