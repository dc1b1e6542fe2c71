#include <Tests/Scenario/FakeServices.h>

#include <LibCore/HttpStatus.h>

namespace Scenario {

namespace {

using VerdictState = Ledger::FenceVerdict::State;
using ReplyState = Service::ServiceReply::State;

constexpr auto FenceTimeout = std::chrono::milliseconds(1000);

}

FakeServices::FakeServices(Core::VirtualScheduler &world, Network &network)
    : m_world(world)
    , m_network(network)
{
}

void FakeServices::add(const std::string &name, const std::string &zone)
{
    auto &service = m_services[name];
    service.name = name;
    service.zone = zone;
    service.process = std::make_unique<ProcessScheduler>(m_world);
}

FakeService &FakeServices::at(const std::string &name)
{
    return m_services.at(name);
}

std::map<std::string, FakeService> &FakeServices::all()
{
    return m_services;
}

// What was running has not taken effect: a service makes its effect and its record in one step.
void FakeServices::kill(const std::string &name)
{
    at(name).process->kill();
    std::erase_if(at(name).attempts, [](const auto &entry) {
        return entry.second.state == VerdictState::Running;
    });
}

void FakeServices::restart(const std::string &name)
{
    kill(name);
    auto &process = at(name).process;
    m_formerProcesses.push_back(std::exchange(process, std::make_unique<ProcessScheduler>(m_world)));
}

const std::map<std::string, int> &FakeServices::runs() const
{
    return m_runs;
}

int FakeServices::idempotentRuns() const
{
    return m_idempotentRuns;
}

void FakeServices::serve(FakeService &service, const Service::ServiceMessage &message,
                         Service::ServiceLink::ReplyFunction done)
{
    auto &verdict = service.attempts[message.attempt.value];
    if (verdict.state == VerdictState::Fenced) {
        done({.state = ReplyState::Fenced});
        return;
    }
    verdict.state = VerdictState::Running;
    service.process->runAfter(service.runTime, [this, &service, message, done = std::move(done)] {
        const bool isIdempotent = message.semantics == Service::CallSemantics::Idempotent;
        const auto run = isIdempotent ? ++m_idempotentRuns : ++m_runs[message.key];
        auto &ended = service.attempts[message.attempt.value];
        ended = {.state = VerdictState::Ran,
                 .result = {.status = Core::HttpStatus::Ok,
                            .contentType = "text/plain",
                            .body = message.body + " run " + std::to_string(run)}};
        if (service.answersToLose > 0) {
            --service.answersToLose;
            return;
        }
        done({.state = ReplyState::Responded, .result = ended.result});
    });
}

Ledger::FenceVerdict FakeServices::fence(FakeService &service, const std::string &attempt)
{
    auto &verdict = service.attempts[attempt];
    if (verdict.state == VerdictState::Unreachable) {
        verdict.state = VerdictState::Fenced;
    }
    return verdict;
}

HostServices::HostServices(FakeServices &services, std::string host, ProcessScheduler &process)
    : m_services(services)
    , m_host(std::move(host))
    , m_process(process)
{
}

void HostServices::send(const Service::ServiceAddress &service, const Service::ServiceMessage &message,
                        ReplyFunction done)
{
    auto &called = m_services.at(service.target.value);
    auto isEnded = std::make_shared<bool>(false);
    const auto answer = [isEnded, done = std::move(done)](const Service::ServiceReply &reply) {
        if (!std::exchange(*isEnded, true)) {
            done(reply);
        }
    };
    if (called.process->state() == ProcessState::Dead) {
        m_services.m_network.deliver(called.name, m_host, m_process, [answer] {
            answer({.state = ReplyState::NotSent, .error = "connection refused"});
        });
        return;
    }
    m_process.runAfter(message.timeout, [answer] {
        answer({.state = ReplyState::Lost, .error = "timed out"});
    });
    // HTTP carries a request once, whatever the network beneath does.
    auto wasServed = std::make_shared<bool>(false);
    auto *process = &m_process;
    m_services.m_network.deliver(
        m_host, called.name, *called.process, [this, &called, wasServed, message, answer, process] {
            if (called.isSilent || std::exchange(*wasServed, true)) {
                return;
            }
            m_services.serve(called, message, [this, &called, answer, process](const auto &reply) {
                m_services.m_network.deliver(called.name, m_host, *process, [answer, reply] {
                    answer(reply);
                });
            });
        });
}

void HostServices::fence(const Service::ServiceAddress &service, const std::string & /*fencePath*/,
                         const Core::AttemptId &attempt, FenceDoneFunction done)
{
    auto &asked = m_services.at(service.target.value);
    auto isEnded = std::make_shared<bool>(false);
    const auto answer = [isEnded, done = std::move(done)](const Ledger::FenceVerdict &verdict) {
        if (!std::exchange(*isEnded, true)) {
            done(verdict);
        }
    };
    m_process.runAfter(FenceTimeout, [answer] {
        answer({});
    });
    if (asked.process->state() == ProcessState::Dead) {
        return;
    }
    m_services.m_network.deliver(m_host, asked.name, *asked.process, [this, &asked, attempt, answer] {
        if (asked.isSilent) {
            return;
        }
        const auto verdict = FakeServices::fence(asked, attempt.value);
        m_services.m_network.deliver(asked.name, m_host, m_process, [answer, verdict] {
            answer(verdict);
        });
    });
}

}
