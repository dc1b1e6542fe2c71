#include <Tests/Scenario/World.h>

#include <algorithm>
#include <stdexcept>

namespace Scenario {

namespace {

constexpr auto InvariantPeriod = std::chrono::milliseconds(50);
constexpr auto StopGrace = std::chrono::milliseconds(500);

}

// Carries peers' messages over the scenario's network.
class World::Transport final : public Peer::PeerTransport
{
public:
    Transport(World &world, std::string self)
        : m_world(world)
        , m_self(std::move(self))
    {
    }

    void send(const Core::HostId &to, std::string bytes) override
    {
        const auto found = m_world.m_hosts.find(to.value);
        if (found == m_world.m_hosts.end()) {
            return;
        }
        auto *receiver = found->second.host.get();
        m_world.m_network.deliver(m_self, to.value, *found->second.process, [receiver, bytes = std::move(bytes)] {
            receiver->router().receive(bytes);
        });
    }

    void reconnect(const Core::HostId & /*to*/) override
    {
    }

private:
    World &m_world;
    std::string m_self;
};

World::World(std::uint64_t seed)
    : m_lastSeed(seed)
    , m_platform(m_clock, m_network)
    , m_engines(m_clock, m_network)
    , m_services(m_clock, m_network)
{
}

World::~World() = default;

void World::run(Core::Duration duration)
{
    while (duration > Core::Duration::zero()) {
        const auto step = std::min<Core::Duration>(duration, InvariantPeriod);
        m_clock.advance(step);
        duration -= step;
        checkInvariants();
    }
}

void World::addEngine(const FakeEngineOptions &options)
{
    m_engines.add(options);
    m_platform.putMachine({.kind = Platform::MachineKind::Engine,
                           .name = options.name,
                           .zone = {options.zone},
                           .address = options.name,
                           .role = "base",
                           .fenceChecking = options.fenceChecking});
}

void World::addHost(const std::string &name, const std::string &zone, std::vector<Core::HostId> seeds)
{
    auto &host = m_hosts[name];
    host.name = name;
    host.zone = zone;
    host.seeds = std::move(seeds);
    boot(host);
}

void World::boot(FakeHost &host)
{
    host.process = std::make_unique<ProcessScheduler>(m_clock);
    host.ids = std::make_unique<Core::IdSource>(++m_lastSeed);
    host.tracer = std::make_unique<Trace::Tracer>(*host.ids, Trace::TracerOptions {});
    host.metrics = std::make_unique<Metrics::Registry>();
    host.platform = std::make_unique<HostPlatform>(m_platform, host.name, *host.process);
    host.engines = std::make_unique<HostEngines>(m_engines, host.name, *host.process);
    host.services = std::make_unique<HostServices>(m_services, host.name, *host.process);
    host.transport = std::make_unique<Transport>(*this, host.name);
    host.hasLeft = false;
    const Host::HostDependencies dependencies {.scheduler = *host.process,
                                               .table = *host.platform,
                                               .hostList = *host.platform,
                                               .transport = *host.transport,
                                               .engines = *host.engines,
                                               .services = *host.services,
                                               .ids = *host.ids,
                                               .tracer = *host.tracer,
                                               .metrics = *host.metrics};
    host.host = std::make_unique<Host::Host>(dependencies,
                                             Host::HostOptions {.record = {.id = {host.name},
                                                                           .zone = {host.zone},
                                                                           .peerAddress = host.name,
                                                                           .callerAddress = host.name,
                                                                           .incarnation = host.ids->randomNumber()},
                                                                .peerKey = "key",
                                                                .coldStart = {.seeds = host.seeds}});
    host.host->start();
}

void World::killHost(const std::string &name)
{
    host(name).process->kill();
    loseCallers(name);
}

void World::restartHost(const std::string &name)
{
    killHost(name);
    auto &current = host(name);
    FakeHost fresh;
    fresh.name = name;
    fresh.zone = current.zone;
    fresh.seeds = current.seeds;
    m_formerHosts.push_back(std::exchange(current, std::move(fresh)));
    boot(current);
}

void World::stopHost(const std::string &name)
{
    auto &stopping = host(name);
    stopping.host->leave(StopGrace, [this, name] {
        host(name).hasLeft = true;
        killHost(name);
    });
}

void World::submitTicket(const std::string &host, Ticket::Ticket ticket, Ticket::TicketAcceptor::AcceptFunction done)
{
    this->host(host).host->submitTicket(std::move(ticket), std::move(done));
}

void World::request(const std::string &name, const std::string &host, const std::string &customer,
                    const std::string &model, std::uint32_t mostTokens, Core::Duration timeout,
                    const std::string &givenPrompt)
{
    const auto &prompt = givenPrompt.empty() ? name : givenPrompt;
    for (auto &[earlierName, earlier] : m_requests) {
        earlier.isPromptReused = earlier.isPromptReused || (earlier.prompt == prompt && earlier.caller->isToldNotRun());
    }
    auto &request = m_requests[name];
    request = {.name = name,
               .host = host,
               .prompt = prompt,
               .startsBefore = startsOf(prompt),
               .mostTokens = mostTokens,
               .caller = std::make_shared<FakeCaller>()};
    auto &entry = this->host(host);
    if (entry.process->state() == ProcessState::Dead) {
        request.caller->refuse({.message = "connection refused"});
        return;
    }
    entry.process->runAfter({}, [&request, &entry, customer, model, mostTokens, timeout] {
        request.abandon = entry.host->complete({.customer = {customer},
                                                .model = model,
                                                .prompt = request.prompt,
                                                .maxTokens = mostTokens,
                                                .timeout = timeout},
                                               request.caller);
    });
}

void World::addService(const std::string &name, const std::string &zone)
{
    m_services.add(name, zone);
    m_platform.putMachine(
        {.kind = Platform::MachineKind::Service, .name = name, .zone = {zone}, .address = name, .role = "seats"});
}

void World::callService(const std::string &name, const std::string &host, Service::ServiceRequest request)
{
    const auto answer = std::make_shared<FakeCallAnswer>();
    m_calls[name] = {.key = request.key, .answer = answer};
    auto &entry = this->host(host);
    if (entry.process->state() == ProcessState::Dead) {
        answer->refuse({.message = "connection refused"});
        return;
    }
    entry.process->runAfter({}, [&entry, answer, request = std::move(request)] {
        entry.host->callService(request, answer);
    });
}

// A call that must not be repeated runs at most once, and not at all when each of its callers was told so.
void World::checkCalls()
{
    for (const auto &[key, count] : m_services.runs()) {
        if (count > 1) {
            throw std::runtime_error("invariant: key " + key + " ran " + std::to_string(count) + " times");
        }
        const bool isToldNotRun = std::all_of(m_calls.begin(), m_calls.end(), [&key = key](const auto &entry) {
            return entry.second.key != key || entry.second.answer->outcome() == "not-run";
        });
        if (isToldNotRun) {
            throw std::runtime_error("invariant: key " + key + " was told \"not run\" but ran");
        }
    }
}

void World::checkInvariants()
{
    checkCalls();
    for (const auto &[name, engine] : m_engines.all()) {
        if (engine.earlierEvictionsInUse + engine.model->evictionsInUse() > 0) {
            throw std::runtime_error("invariant: " + name + " evicted an adapter that was serving a request");
        }
    }
    for (auto &[name, host] : m_hosts) {
        const auto sequence = host.host->tickets().state()->sequence();
        if (sequence < std::exchange(host.lastSequence, sequence)) {
            throw std::runtime_error("invariant: " + name + " went back to an earlier ticket");
        }
    }
    for (const auto &[name, request] : m_requests) {
        checkAnswer(request);
    }
}

void World::checkAnswer(const FakeRequest &request)
{
    const auto &caller = *request.caller;
    if (caller.isToldNotRun()) {
        if (!request.isPromptReused && startsOf(request.prompt) > request.startsBefore) {
            throw std::runtime_error("invariant: " + request.name + " was told \"not run\" but an engine began it");
        }
    }
    if (caller.received().empty()) {
        return;
    }
    std::string whole;
    for (std::uint32_t i = 0; i < request.mostTokens; ++i) {
        whole += StandIns::tokenAt(caller.head().adapter, request.prompt, i);
    }
    if (!whole.starts_with(caller.received())) {
        throw std::runtime_error("invariant: " + request.name + " received text that isn't its own answer");
    }
    if (caller.state() == FakeCaller::State::Completed && caller.received() != whole) {
        throw std::runtime_error("invariant: " + request.name + " completed without its whole answer");
    }
}

int World::startsOf(const std::string &prompt)
{
    int starts = 0;
    for (const auto &[name, engine] : m_engines.all()) {
        const auto found = engine.startCounts.find(prompt);
        starts += found == engine.startCounts.end() ? 0 : found->second;
    }
    return starts;
}

void World::loseCallers(const std::string &host)
{
    for (auto &[name, request] : m_requests) {
        if (request.host == host) {
            request.caller->lose();
        }
    }
}

Core::VirtualScheduler &World::clock()
{
    return m_clock;
}

Network &World::network()
{
    return m_network;
}

FakePlatform &World::platform()
{
    return m_platform;
}

FakeEngines &World::engines()
{
    return m_engines;
}

FakeServices &World::services()
{
    return m_services;
}

FakeCall &World::callNamed(const std::string &name)
{
    return m_calls.at(name);
}

const std::map<std::string, FakeCall> &World::calls() const
{
    return m_calls;
}

FakeHost &World::host(const std::string &name)
{
    return m_hosts.at(name);
}

std::map<std::string, FakeHost> &World::hosts()
{
    return m_hosts;
}

FakeRequest &World::requestNamed(const std::string &name)
{
    return m_requests.at(name);
}

std::map<std::string, FakeRequest> &World::requests()
{
    return m_requests;
}

}
