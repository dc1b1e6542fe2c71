#include <Tests/Scenario/FakeEngines.h>

namespace Scenario {

namespace {

constexpr auto OrderTimeout = std::chrono::seconds(10);
constexpr auto StatusTimeout = std::chrono::milliseconds(800);
constexpr auto SilenceTimeout = std::chrono::seconds(5);

}

FakeEngines::FakeEngines(Core::VirtualScheduler &world, Network &network)
    : m_world(world)
    , m_network(network)
{
}

void FakeEngines::add(const FakeEngineOptions &options)
{
    auto &engine = m_engines[options.name];
    engine.options = options;
    boot(engine);
}

FakeEngine &FakeEngines::at(const std::string &name)
{
    return m_engines.at(name);
}

std::map<std::string, FakeEngine> &FakeEngines::all()
{
    return m_engines;
}

void FakeEngines::boot(FakeEngine &engine)
{
    if (engine.process != nullptr) {
        engine.earlierEvictionsInUse += engine.model->evictionsInUse();
        m_formerProcesses.push_back(std::move(engine.process));
    }
    ++engine.incarnation;
    engine.process = std::make_unique<ProcessScheduler>(m_world);
    engine.model = std::make_unique<StandIns::EngineModel>(
        StandIns::EngineModelOptions {.incarnation = engine.options.name + "#" + std::to_string(engine.incarnation),
                                      .slotCount = engine.options.slots,
                                      .batchCapacity = engine.options.batch,
                                      .fenceChecking = engine.options.fenceChecking});
}

void FakeEngines::kill(const std::string &name)
{
    auto &engine = at(name);
    engine.process->kill();
    for (const auto &breakConnection : std::exchange(engine.onDeath, {})) {
        breakConnection();
    }
}

void FakeEngines::restart(const std::string &name)
{
    auto &engine = at(name);
    if (engine.process->state() != ProcessState::Dead) {
        kill(name);
    }
    boot(engine);
}

// One stream, as both ends know it.
struct HostEngines::Stream {
    std::uint64_t id = 0;
    std::string engine;
    std::uint32_t incarnation = 0;
    Engine::GenerateRequest request;
    StreamFunction events;
    std::uint32_t next = 0;
    bool isRunning = false; // At the engine.
    bool isEnded = false; // At the host.
    bool isDead = false; // Something between the ends has lost the connection; nothing passes either way.
    Core::TimePoint lastEvent {};
    std::uint64_t sentEvents = 0;
    std::uint64_t takenEvents = 0;
};

HostEngines::HostEngines(FakeEngines &engines, std::string host, ProcessScheduler &process)
    : m_engines(engines)
    , m_host(std::move(host))
    , m_process(process)
{
}

template<typename Answer>
void HostEngines::ask(const std::string &name, Core::Duration timeout,
                      std::function<void(FakeEngine &, std::function<void(Answer)>)> serve,
                      std::function<void(Answer)> take, Answer whenDead, Answer whenSilent)
{
    auto &engine = m_engines.at(name);
    auto isEnded = std::make_shared<bool>(false);
    auto answer = [isEnded, take](const Answer &value) {
        if (!std::exchange(*isEnded, true)) {
            take(value);
        }
    };
    m_process.runAfter(timeout, [answer, whenSilent] {
        answer(whenSilent);
    });
    if (engine.process->state() == ProcessState::Dead) {
        m_engines.m_network.deliver(name, m_host, m_process, [answer, whenDead] {
            answer(whenDead);
        });
        return;
    }
    auto isServed = std::make_shared<bool>(false);
    m_engines.m_network.deliver(m_host, name, *engine.process, [this, name, serve, answer, isServed] {
        // HTTP carries a request once, whatever the network beneath does.
        if (std::exchange(*isServed, true)) {
            return;
        }
        serve(m_engines.at(name), [this, name, answer](Answer value) {
            m_engines.m_network.deliver(name, m_host, m_process, [answer, value] {
                answer(value);
            });
        });
    });
}

void HostEngines::load(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done)
{
    using Outcome = Engine::OrderOutcome;
    ask<Outcome>(
        engine.target.value, OrderTimeout,
        [order](FakeEngine &target, const std::function<void(Outcome)> &answer) {
            const auto before = target.model->status().slots;
            const bool wasResident = std::any_of(before.begin(), before.end(), [&](const auto &slot) {
                return slot.adapter == order.adapter;
            });
            const auto outcome = target.model->beginLoad(order);
            if (outcome != Outcome::Done || wasResident) {
                answer(outcome);
                return;
            }
            target.process->runAfter(target.options.loadTime, [&target, order, answer] {
                const bool isLoaded = target.loadsToFail == 0;
                target.loadsToFail -= isLoaded ? 0 : 1;
                target.model->finishLoad(order.adapter, isLoaded);
                answer(isLoaded ? Outcome::Done : Outcome::Failed);
            });
        },
        std::move(done), Outcome::Failed, Outcome::Unknown);
}

void HostEngines::unload(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done)
{
    using Outcome = Engine::OrderOutcome;
    ask<Outcome>(
        engine.target.value, OrderTimeout,
        [order](FakeEngine &target, const std::function<void(Outcome)> &answer) {
            answer(target.model->unload(order));
        },
        std::move(done), Outcome::Failed, Outcome::Unknown);
}

void HostEngines::status(const Engine::EngineAddress &engine, StatusFunction done)
{
    using Status = std::optional<Engine::EngineStatus>;
    ask<Status>(
        engine.target.value, StatusTimeout,
        [](FakeEngine &target, const std::function<void(Status)> &answer) {
            answer(target.model->status());
        },
        std::move(done), std::nullopt, std::nullopt);
}

Engine::StreamId HostEngines::generate(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request,
                                       StreamFunction events)
{
    auto stream = std::make_shared<Stream>();
    stream->id = ++m_lastStream;
    stream->engine = engine.target.value;
    stream->request = request;
    stream->events = std::move(events);
    stream->next = request.offset;
    stream->lastEvent = m_process.now();
    m_streams[stream->id] = stream;
    watchSilence(stream);
    auto &target = m_engines.at(stream->engine);
    if (target.process->state() == ProcessState::Dead) {
        sendEvent(stream, Engine::StreamFailure {.mayHaveRun = false, .reason = "connection refused"});
        return Engine::StreamId(stream->id);
    }
    auto isServed = std::make_shared<bool>(false);
    m_engines.m_network.deliver(m_host, stream->engine, *target.process, [this, stream, isServed] {
        if (!std::exchange(*isServed, true)) {
            serveStream(stream);
        }
    });
    return Engine::StreamId(stream->id);
}

void HostEngines::cancel(Engine::StreamId stream)
{
    const auto found = m_streams.find(static_cast<std::uint64_t>(stream));
    if (found == m_streams.end()) {
        return;
    }
    const auto cancelled = found->second;
    m_streams.erase(found);
    cancelled->isEnded = true;
    if (cancelled->isDead) {
        return;
    }
    auto &target = m_engines.at(cancelled->engine);
    m_engines.m_network.deliver(m_host, cancelled->engine, *target.process, [this, cancelled] {
        auto &engine = m_engines.at(cancelled->engine);
        if (std::exchange(cancelled->isRunning, false) && engine.incarnation == cancelled->incarnation) {
            engine.model->endRequest(cancelled->request.adapter);
        }
    });
}

void HostEngines::silenceStreams(const std::string &engine)
{
    for (const auto &[id, stream] : m_streams) {
        stream->isDead = stream->isDead || stream->engine == engine;
    }
}

void HostEngines::serveStream(const std::shared_ptr<Stream> &stream)
{
    auto &engine = m_engines.at(stream->engine);
    const auto &request = stream->request;
    stream->incarnation = engine.incarnation;
    if (!engine.model->beginRequest(request.adapter)) {
        sendEvent(stream,
                  Engine::StreamRefusal {.status = 404, .reason = request.adapter.toString() + " isn't resident"});
        return;
    }
    engine.lastStart = m_engines.m_world.now();
    ++engine.startCounts[request.prompt];
    stream->isRunning = true;
    engine.onDeath.push_back([this, stream] {
        if (std::exchange(stream->isRunning, false)) {
            sendEvent(stream, Engine::StreamFailure {.reason = "connection reset"});
        }
    });
    if (!engine.crashPrompt.empty() && request.prompt.find(engine.crashPrompt) != std::string::npos) {
        m_engines.m_world.runAfter({}, [this, name = stream->engine] {
            m_engines.kill(name);
        });
        return;
    }
    sendEvent(stream,
              Engine::StreamHead {.attempt = request.attempt,
                                  .adapter = request.adapter,
                                  .incarnation = engine.model->status().incarnation});
    sendTokens(stream);
}

void HostEngines::sendTokens(const std::shared_ptr<Stream> &stream)
{
    auto &engine = m_engines.at(stream->engine);
    const auto &request = stream->request;
    if (!stream->isRunning) {
        return;
    }
    if (stream->next >= request.maxTokens) {
        stream->isRunning = false;
        engine.model->endRequest(request.adapter);
        sendEvent(stream, Engine::StreamEnd {.attempt = request.attempt, .tokenCount = request.maxTokens});
        return;
    }
    sendEvent(stream,
              Engine::StreamToken {.attempt = request.attempt,
                                   .index = stream->next,
                                   .text = StandIns::tokenAt(request.adapter, request.prompt, stream->next)});
    ++stream->next;
    engine.process->runAfter(engine.options.tokenTime, [this, stream] {
        sendTokens(stream);
    });
}

void HostEngines::sendEvent(const std::shared_ptr<Stream> &stream, Engine::StreamEvent event)
{
    if (stream->isDead) {
        return;
    }
    // A connection delivers in order and without gaps, or not at all.
    const auto number = ++stream->sentEvents;
    m_engines.m_network.deliver(stream->engine, m_host, m_process, [this, stream, number, event = std::move(event)] {
        if (number == stream->takenEvents + 1) {
            ++stream->takenEvents;
            takeEvent(stream, event);
        }
    });
}

void HostEngines::watchSilence(const std::shared_ptr<Stream> &stream)
{
    m_process.runAfter(SilenceTimeout, [this, stream] {
        if (stream->isEnded) {
            return;
        }
        if (m_process.now() - stream->lastEvent >= SilenceTimeout) {
            takeEvent(stream, Engine::StreamFailure {.isIdleTimeout = true, .reason = "silent for too long"});
            return;
        }
        watchSilence(stream);
    });
}

void HostEngines::takeEvent(const std::shared_ptr<Stream> &stream, const Engine::StreamEvent &event)
{
    if (stream->isEnded) {
        return;
    }
    stream->lastEvent = m_process.now();
    const bool isLast = std::holds_alternative<Engine::StreamEnd>(event)
        || std::holds_alternative<Engine::StreamRefusal>(event) || std::holds_alternative<Engine::StreamFailure>(event);
    if (isLast) {
        stream->isEnded = true;
        m_streams.erase(stream->id);
    }
    stream->events(event);
}

}
