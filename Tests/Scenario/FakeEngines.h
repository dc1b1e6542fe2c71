#pragma once

#include <LibEngine/EngineLink.h>
#include <StandIns/EngineModel.h>
#include <Tests/Scenario/Network.h>
#include <memory>
#include <set>

namespace Scenario {

struct FakeEngineOptions {
    std::string name;
    std::string zone;
    std::uint32_t slots = 2;
    std::uint32_t batch = 8;
    Platform::FenceChecking fenceChecking = Platform::FenceChecking::Checks;
    Core::Duration loadTime = std::chrono::milliseconds(250);
    Core::Duration tokenTime = std::chrono::milliseconds(10);
};

// One model engine of a scenario. It outlives its restarts.
struct FakeEngine {
    FakeEngineOptions options;
    std::uint32_t incarnation = 0;
    std::unique_ptr<ProcessScheduler> process;
    std::unique_ptr<StandIns::EngineModel> model;
    int loadsToFail = 0;
    std::string crashPrompt; // A request whose prompt holds this text ends the process.
    std::uint32_t earlierEvictionsInUse = 0; // Counted by incarnations that have ended.
    std::map<std::string, int> startCounts; // By prompt, over all incarnations.
    Core::TimePoint lastStart {}; // When a request last began to run.
    Core::TimePoint leftAt {}; // When a scenario let it begin to leave.
    std::vector<std::function<void()>> onDeath; // Breaks the connections that are open.
};

// The engines of a scenario, by name.
class FakeEngines
{
public:
    FakeEngines(Core::VirtualScheduler &world, Network &network);

    void add(const FakeEngineOptions &options);
    [[nodiscard]] FakeEngine &at(const std::string &name);
    [[nodiscard]] std::map<std::string, FakeEngine> &all();
    // Ends an engine's process; its connections break.
    void kill(const std::string &name);
    // Starts it again, with empty slots and a new incarnation.
    void restart(const std::string &name);

private:
    friend class HostEngines;
    void boot(FakeEngine &engine);

    Core::VirtualScheduler &m_world;
    Network &m_network;
    std::map<std::string, FakeEngine> m_engines;
    std::vector<std::unique_ptr<ProcessScheduler>> m_formerProcesses; // Timers may still name them.
};

// The engines as one host reaches them.
class HostEngines final : public Engine::EngineLink
{
public:
    HostEngines(FakeEngines &engines, std::string host, ProcessScheduler &process);

    void load(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done) override;
    void unload(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done) override;
    void status(const Engine::EngineAddress &engine, StatusFunction done) override;
    Engine::StreamId generate(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request,
                              StreamFunction events) override;
    void cancel(Engine::StreamId stream) override;
    // Nothing passes any more on the streams that are open with an engine; new ones work.
    void silenceStreams(const std::string &engine);

private:
    struct Stream;

    // Calls a function of the engine, and the taker with what it answers.
    template<typename Answer>
    void ask(const std::string &name, Core::Duration timeout,
             std::function<void(FakeEngine &, std::function<void(Answer)>)> serve, std::function<void(Answer)> take,
             Answer whenDead, Answer whenSilent);
    void serveStream(const std::shared_ptr<Stream> &stream);
    void sendTokens(const std::shared_ptr<Stream> &stream);
    void sendEvent(const std::shared_ptr<Stream> &stream, Engine::StreamEvent event);
    void watchSilence(const std::shared_ptr<Stream> &stream);
    void takeEvent(const std::shared_ptr<Stream> &stream, const Engine::StreamEvent &event);

    FakeEngines &m_engines;
    std::string m_host;
    ProcessScheduler &m_process;
    std::uint64_t m_lastStream = 0;
    std::map<std::uint64_t, std::shared_ptr<Stream>> m_streams;
};

}
