#pragma once

#include <LibService/ServiceLink.h>
#include <Tests/Scenario/Network.h>
#include <map>
#include <memory>

namespace Scenario {

// One replica of an application service. What it has run lasts, also over its restarts.
struct FakeService {
    std::string name;
    std::string zone;
    std::unique_ptr<ProcessScheduler> process;
    Core::Duration runTime = std::chrono::milliseconds(5);
    int answersToLose = 0; // Calls that run, and whose answers are lost.
    bool isSilent = false; // Connections open, and nothing comes back or is run.
    std::map<std::string, Ledger::FenceVerdict> attempts; // What each attempt has come to.
};

// The services of a scenario, by name, and how often each key ran over all of them.
class FakeServices
{
public:
    FakeServices(Core::VirtualScheduler &world, Network &network);

    void add(const std::string &name, const std::string &zone);
    [[nodiscard]] FakeService &at(const std::string &name);
    [[nodiscard]] std::map<std::string, FakeService> &all();
    void kill(const std::string &name);
    void restart(const std::string &name);
    // Runs of calls that must not be repeated, by key.
    [[nodiscard]] const std::map<std::string, int> &runs() const;
    // Runs of idempotent calls.
    [[nodiscard]] int idempotentRuns() const;

private:
    friend class HostServices;
    // Begins to run a call, unless its attempt is fenced; the function gets the answer when it has ended.
    void serve(FakeService &service, const Service::ServiceMessage &message, Service::ServiceLink::ReplyFunction done);
    [[nodiscard]] static Ledger::FenceVerdict fence(FakeService &service, const std::string &attempt);

    Core::VirtualScheduler &m_world;
    Network &m_network;
    std::map<std::string, FakeService> m_services;
    std::vector<std::unique_ptr<ProcessScheduler>> m_formerProcesses; // Timers may still name them.
    std::map<std::string, int> m_runs;
    int m_idempotentRuns = 0;
};

// The services as one host reaches them.
class HostServices final : public Service::ServiceLink
{
public:
    HostServices(FakeServices &services, std::string host, ProcessScheduler &process);

    void send(const Service::ServiceAddress &service, const Service::ServiceMessage &message,
              ReplyFunction done) override;
    void fence(const Service::ServiceAddress &service, const std::string &fencePath, const Core::AttemptId &attempt,
               FenceDoneFunction done) override;

private:
    FakeServices &m_services;
    std::string m_host;
    ProcessScheduler &m_process;
};

}
