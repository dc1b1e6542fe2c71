#pragma once

#include <LibHost/Host.h>
#include <Tests/Scenario/FakeCall.h>
#include <Tests/Scenario/FakeCaller.h>
#include <Tests/Scenario/FakeEngines.h>
#include <Tests/Scenario/FakePlatform.h>
#include <Tests/Scenario/FakeServices.h>

namespace Scenario {

// One entry host of a scenario: its real decision objects over fakes. A restart makes a new one.
struct FakeHost {
    std::string name;
    std::string zone;
    std::vector<Core::HostId> seeds; // Of the settings.
    std::uint64_t lastSequence = 0; // Since it started.
    std::unique_ptr<ProcessScheduler> process;
    std::unique_ptr<Core::IdSource> ids;
    std::unique_ptr<Trace::Tracer> tracer;
    std::unique_ptr<Metrics::Registry> metrics;
    std::unique_ptr<HostPlatform> platform;
    std::unique_ptr<HostEngines> engines;
    std::unique_ptr<HostServices> services;
    std::unique_ptr<Peer::PeerTransport> transport;
    std::unique_ptr<Host::Host> host;
    bool hasLeft = false; // A planned stop has ended.
};

// One request that a caller sent, and what came of it.
struct FakeRequest {
    std::string name;
    std::string host;
    std::string prompt;
    int startsBefore = 0; // How often engines had begun the prompt when this request was sent.
    bool isPromptReused = false; // By a request sent after this one had been told "not run".
    std::uint32_t mostTokens = 0;
    std::shared_ptr<FakeCaller> caller;
    std::function<void()> abandon;
};

// Small fakes around the real decision objects of several hosts, on one virtual clock. This is no simulator: it
// knows no load, no randomness and no timing beyond what a script sets.
class World
{
public:
    explicit World(std::uint64_t seed);
    ~World();

    // Moves time forward and checks every invariant afterwards; throws std::runtime_error naming a violated one.
    void run(Core::Duration duration);
    void addEngine(const FakeEngineOptions &options);
    void addHost(const std::string &name, const std::string &zone, std::vector<Core::HostId> seeds = {});
    void killHost(const std::string &name);
    void restartHost(const std::string &name);
    void stopHost(const std::string &name);
    void submitTicket(const std::string &host, Ticket::Ticket ticket, Ticket::TicketAcceptor::AcceptFunction done);
    // Without a prompt the request's name is the prompt. Different prompts are told apart at the engines.
    void request(const std::string &name, const std::string &host, const std::string &customer,
                 const std::string &model, std::uint32_t mostTokens, Core::Duration timeout,
                 const std::string &givenPrompt = "");
    void addService(const std::string &name, const std::string &zone);
    void callService(const std::string &name, const std::string &host, Service::ServiceRequest request);
    void checkInvariants();
    // How often engines have begun to run a prompt.
    [[nodiscard]] int startsOf(const std::string &prompt);

    [[nodiscard]] Core::VirtualScheduler &clock();
    [[nodiscard]] Network &network();
    [[nodiscard]] FakePlatform &platform();
    [[nodiscard]] FakeEngines &engines();
    [[nodiscard]] FakeServices &services();
    [[nodiscard]] FakeCall &callNamed(const std::string &name);
    [[nodiscard]] const std::map<std::string, FakeCall> &calls() const;
    [[nodiscard]] FakeHost &host(const std::string &name);
    [[nodiscard]] std::map<std::string, FakeHost> &hosts();
    [[nodiscard]] FakeRequest &requestNamed(const std::string &name);
    [[nodiscard]] std::map<std::string, FakeRequest> &requests();

private:
    class Transport;
    void boot(FakeHost &host);
    void loseCallers(const std::string &host);
    void checkAnswer(const FakeRequest &request);
    void checkCalls();

    std::uint64_t m_lastSeed;
    Core::VirtualScheduler m_clock;
    Network m_network;
    FakePlatform m_platform;
    FakeEngines m_engines;
    FakeServices m_services;
    std::map<std::string, FakeHost> m_hosts;
    std::vector<FakeHost> m_formerHosts; // Tasks that are dropped may still name them.
    std::map<std::string, FakeRequest> m_requests;
    std::map<std::string, FakeCall> m_calls;
};

}
