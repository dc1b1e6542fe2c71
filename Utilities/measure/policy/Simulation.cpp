#include <measure/policy/Simulation.h>

#include <LibCore/Verify.h>
#include <LibOwner/Dispatcher.h>
#include <LibPolicy/AdapterHomes.h>
#include <algorithm>
#include <measure/policy/WeightStore.h>
#include <memory>
#include <set>

namespace Measure {

namespace {

constexpr auto BaseModel = "base";
constexpr Core::Duration PeerDelay = std::chrono::microseconds(1500);
constexpr Core::Duration UnloadTime = std::chrono::milliseconds(3);
constexpr Core::Duration SweepPeriod = std::chrono::milliseconds(500);
constexpr Core::Duration BorrowPeriod = std::chrono::milliseconds(100);
constexpr Core::Duration DrainTime = std::chrono::minutes(5);

enum class State { Waiting, Running, Finished, Shed, LoadFailed };

struct Request {
    const Arrival *arrival = nullptr;
    State state = State::Waiting;
    std::optional<Core::TimePoint> stallsSince;
    Core::Duration stalled {};
};

struct SimulatedHost {
    std::uint32_t zone = 0;
    std::unique_ptr<Owner::Dispatcher> dispatcher;
    Policy::AdapterHomes homes;
    std::set<std::size_t> waiting;
    bool hasAsked = false; // For a permit, of another host.
    std::size_t nextLender = 0;
};

struct SimulatedTarget {
    Core::TargetId id;
    std::size_t host = 0;
    std::uint32_t zone = 0;
    std::uint32_t incarnation = 1;
    std::uint32_t running = 0;
    [[nodiscard]] std::string incarnationText() const
    {
        return std::to_string(incarnation);
    }
};

Core::AdapterVersion versionOf(std::uint32_t adapter)
{
    return {"adapter-" + std::to_string(adapter), "1"};
}

// One run.
class Run
{
public:
    Run(const Deployment &deployment, const Trace &trace, const std::string &policy);

    Figures run();

private:
    void start(SimulatedTarget &target);
    void arrive(std::size_t number);
    [[nodiscard]] std::size_t chooseOwner(std::size_t number, const Core::AdapterVersion &adapter);
    void step(std::size_t host);
    void sweep();
    void act(std::size_t host, const Owner::GrantAction &action);
    void act(std::size_t host, const Owner::RefuseAction &action);
    void act(std::size_t host, const Owner::LoadAction &action);
    void act(std::size_t host, const Owner::UnloadAction &action);
    void borrow(std::size_t host);
    void strike(FaultKind kind);
    void restart(SimulatedTarget &target);
    void markStalls(std::size_t host, const Core::AdapterVersion &adapter);
    void account();
    [[nodiscard]] bool isResident(std::size_t host, const Core::AdapterVersion &adapter) const;
    [[nodiscard]] bool isMeasuring() const;
    [[nodiscard]] Figures figures() const;

    const Deployment &m_deployment;
    const Trace &m_trace;
    std::string m_policy;
    Core::VirtualScheduler m_clock;
    WeightStore m_store;
    std::vector<Request> m_requests;
    std::vector<SimulatedHost> m_hosts;
    std::map<Core::TargetId, SimulatedTarget> m_targets;
    bool m_isCut = false;
    std::uint64_t m_loads = 0;
    Core::TimePoint m_accountedAt {};
    double m_usedCapacity = 0; // Requests times seconds, while work waited.
    double m_offeredCapacity = 0;
};

Run::Run(const Deployment &deployment, const Trace &trace, const std::string &policy)
    : m_deployment(deployment)
    , m_trace(trace)
    , m_policy(policy)
    , m_store(m_clock, deployment)
{
    const auto hostCount = deployment.zones * deployment.hostsPerZone;
    const auto inFlight = std::max(1U, deployment.loadsAtFullSpeed / hostCount);
    for (std::uint32_t zone = 0; zone < deployment.zones; ++zone) {
        for (std::uint32_t i = 0; i < deployment.hostsPerZone; ++i) {
            const Owner::DispatcherOptions options {
                .policy = Policy::findPolicyVersion(policy),
                .budget = {.loadsPerSecond = deployment.loadsPerSecond / hostCount, .maxInFlight = inFlight}};
            VERIFY(options.policy != nullptr);
            m_hosts.push_back({.zone = zone,
                               .dispatcher = std::make_unique<Owner::Dispatcher>(options, m_clock.now()),
                               .homes = Policy::AdapterHomes(options.policy->homes)});
        }
        for (std::uint32_t i = 0; i < deployment.targetsPerZone; ++i) {
            const Core::TargetId id {"engine-" + std::to_string(zone) + "-" + std::to_string(i)};
            m_targets[id]
                = {.id = id, .host = zone * deployment.hostsPerZone + i % deployment.hostsPerZone, .zone = zone};
            start(m_targets[id]);
        }
    }
    for (const auto &arrival : trace.arrivals) {
        m_requests.push_back({.arrival = &arrival});
    }
}

void Run::start(SimulatedTarget &target)
{
    auto &dispatcher = *m_hosts[target.host].dispatcher;
    dispatcher.resetTarget(target.id, target.incarnationText(), m_deployment.slotsPerTarget, {}, m_clock.now());
    dispatcher.setServing(target.id, BaseModel, true);
    dispatcher.report(target.id, m_deployment.batchCapacity, 0);
}

Figures Run::run()
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        m_clock.runAfter(m_requests[i].arrival->at, [this, i] {
            arrive(i);
        });
    }
    for (const auto &fault : m_trace.faults) {
        m_clock.runAfter(fault.at, [this, kind = fault.kind] {
            strike(kind);
        });
    }
    sweep();
    m_clock.advance(m_deployment.warmUp + m_deployment.measured + DrainTime);
    return figures();
}

// A front of the zone of arrival asks the owner of the first target in the adapter's ranking that it reaches.
std::size_t Run::chooseOwner(std::size_t number, const Core::AdapterVersion &adapter)
{
    const auto zone = m_requests[number].arrival->zone;
    std::vector<Policy::HomeCandidate> candidates;
    for (const auto &[id, target] : m_targets) {
        if (!m_isCut || (target.zone == 0) == (zone == 0)) {
            candidates.push_back({.target = id, .zone = {std::to_string(target.zone)}});
        }
    }
    const auto front = zone * m_deployment.hostsPerZone + number % m_deployment.hostsPerZone;
    const auto ranked = m_hosts[front].homes.rank(adapter, candidates, {std::to_string(zone)}, m_clock.now());
    return m_targets.at(ranked.front()).host;
}

void Run::arrive(std::size_t number)
{
    account();
    auto &request = m_requests[number];
    const auto adapter = versionOf(request.arrival->adapter);
    const auto host = chooseOwner(number, adapter);
    if (!isResident(host, adapter)) {
        request.stallsSince = m_clock.now();
    }
    m_hosts[host].waiting.insert(number);
    m_hosts[host].dispatcher->request({.grant = {std::to_string(number)},
                                       .adapter = adapter,
                                       .baseModel = BaseModel,
                                       .customer = {std::to_string(request.arrival->customer)},
                                       .arrivedAt = m_clock.now(),
                                       .deadline = m_clock.now() + m_deployment.patience},
                                      m_clock.now());
    step(host);
}

void Run::step(std::size_t host)
{
    account();
    for (const auto &action : m_hosts[host].dispatcher->step(m_clock.now())) {
        std::visit(
            [this, host](const auto &chosen) {
                act(host, chosen);
            },
            action);
    }
    if (m_hosts[host].dispatcher->wantsPermit(m_clock.now())) {
        borrow(host);
    }
}

// Deadlines and accrued permits are looked at periodically, as the daemon does.
void Run::sweep()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        step(host);
    }
    m_clock.runAfter(SweepPeriod, [this] {
        sweep();
    });
}

void Run::act(std::size_t host, const Owner::GrantAction &action)
{
    const auto number = std::stoul(action.request.grant.value);
    auto &request = m_requests[number];
    m_hosts[host].waiting.erase(number);
    if (request.stallsSince.has_value()) {
        request.stalled += m_clock.now() - *request.stallsSince;
        request.stallsSince.reset();
    }
    request.state = State::Running;
    auto &target = m_targets.at(action.target);
    VERIFY(++target.running <= m_deployment.batchCapacity);
    const auto duration = m_deployment.tokenTime * request.arrival->tokens;
    m_clock.runAfter(duration, [this, host, number, &target, incarnation = target.incarnation] {
        account();
        auto &ended = m_requests[number];
        if (target.incarnation != incarnation) {
            return;
        }
        --target.running;
        ended.state = State::Finished;
        m_hosts[host].dispatcher->release({std::to_string(number)}, m_clock.now());
        step(host);
    });
}

void Run::act(std::size_t host, const Owner::RefuseAction &action)
{
    const auto number = std::stoul(action.request.grant.value);
    m_hosts[host].waiting.erase(number);
    const bool isOverload = action.outcome == Owner::GrantOutcome::Overloaded;
    m_requests[number].state = isOverload ? State::Shed : State::LoadFailed;
    m_requests[number].stalled = m_deployment.patience;
}

void Run::act(std::size_t host, const Owner::LoadAction &action)
{
    m_loads += isMeasuring() ? 1 : 0;
    const auto incarnation = m_targets.at(action.target).incarnationText();
    m_store.load([this, host, action, incarnation](bool isLoaded) {
        account();
        m_hosts[host].dispatcher->finishLoad(action.target, incarnation, action.adapter, isLoaded);
        markStalls(host, action.adapter);
        step(host);
    });
}

void Run::act(std::size_t host, const Owner::UnloadAction &action)
{
    markStalls(host, action.adapter);
    const auto incarnation = m_targets.at(action.target).incarnationText();
    m_clock.runAfter(UnloadTime, [this, host, action, incarnation] {
        m_hosts[host].dispatcher->finishUnload(action.target, incarnation, action.adapter, true, m_clock.now());
        step(host);
    });
}

// Asks one other host after the other for a permit.
void Run::borrow(std::size_t host)
{
    auto &borrower = m_hosts[host];
    if (std::exchange(borrower.hasAsked, true)) {
        return;
    }
    borrower.nextLender = (borrower.nextLender + 1) % m_hosts.size();
    m_clock.runAfter(PeerDelay, [this, host] {
        auto &asked = m_hosts[m_hosts[host].nextLender];
        const bool isReached = !m_isCut || (asked.zone == 0) == (m_hosts[host].zone == 0);
        const bool isLent = isReached && &asked != &m_hosts[host] && asked.dispatcher->lendPermit(m_clock.now());
        // After a refusal it waits before it asks the next, or until its own permit has accrued.
        m_clock.runAfter(isLent ? PeerDelay : BorrowPeriod, [this, host, isLent] {
            m_hosts[host].hasAsked = false;
            if (isLent) {
                m_hosts[host].dispatcher->receivePermit();
            }
            step(host);
        });
    });
}

void Run::strike(FaultKind kind)
{
    account();
    m_store.setSlow(kind == FaultKind::SlowStore);
    m_store.setFailing(kind == FaultKind::FailingStore);
    m_isCut = kind == FaultKind::CutZone;
    if (kind == FaultKind::RestartTarget) {
        restart(m_targets.begin()->second);
    }
    if (kind == FaultKind::RestartZone) {
        for (auto &[id, target] : m_targets) {
            if (target.zone == 0) {
                restart(target);
            }
        }
    }
}

// A planned restart: what runs there is carried elsewhere by the fronts, which is not this measure's matter.
void Run::restart(SimulatedTarget &target)
{
    for (const auto &[adapter, slot] : m_hosts[target.host].dispatcher->tables().at(target.id).slots()) {
        for (const auto &grant : slot.grants) {
            m_requests[std::stoul(grant.value)].state = State::Finished;
        }
    }
    ++target.incarnation;
    target.running = 0;
    start(target);
    for (const auto number : m_hosts[target.host].waiting) {
        markStalls(target.host, versionOf(m_requests[number].arrival->adapter));
    }
}

// A request stalls while its adapter is resident on no target of its owner.
void Run::markStalls(std::size_t host, const Core::AdapterVersion &adapter)
{
    const bool stalls = !isResident(host, adapter);
    for (const auto number : m_hosts[host].waiting) {
        auto &request = m_requests[number];
        if (versionOf(request.arrival->adapter) != adapter || request.stallsSince.has_value() == stalls) {
            continue;
        }
        if (stalls) {
            request.stallsSince = m_clock.now();
        } else {
            request.stalled += m_clock.now() - *request.stallsSince;
            request.stallsSince.reset();
        }
    }
}

bool Run::isResident(std::size_t host, const Core::AdapterVersion &adapter) const
{
    const auto &tables = m_hosts[host].dispatcher->tables();
    return std::any_of(tables.begin(), tables.end(), [&](const auto &entry) {
        const auto *slot = entry.second.find(adapter);
        return slot != nullptr && slot->state == Owner::SlotState::Ready;
    });
}

bool Run::isMeasuring() const
{
    const auto at = m_clock.now().time_since_epoch();
    return at >= m_deployment.warmUp && at < m_deployment.warmUp + m_deployment.measured;
}

// Adds up the time since the last change, while any request waited anywhere.
void Run::account()
{
    const auto elapsed = std::chrono::duration<double>(m_clock.now() - m_accountedAt).count();
    m_accountedAt = m_clock.now();
    const bool isWaited = std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
        return !host.waiting.empty();
    });
    if (!isMeasuring() || !isWaited) {
        return;
    }
    for (const auto &[id, target] : m_targets) {
        m_usedCapacity += elapsed * target.running;
        m_offeredCapacity += elapsed * m_deployment.batchCapacity;
    }
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

Figures Run::figures() const
{
    std::map<std::uint32_t, std::uint32_t> asked;
    for (const auto &request : m_requests) {
        asked[request.arrival->adapter] += request.arrival->at >= m_deployment.warmUp ? 1 : 0;
    }
    std::vector<std::pair<std::uint32_t, std::uint32_t>> byCount;
    for (const auto &[adapter, count] : asked) {
        if (count > 0) {
            byCount.emplace_back(count, adapter);
        }
    }
    std::sort(byCount.begin(), byCount.end());
    std::set<std::uint32_t> rare;
    for (std::size_t i = 0; i < byCount.size() / 2; ++i) {
        rare.insert(byCount[i].second);
    }
    Figures figures {.policy = m_policy, .loads = m_loads};
    std::vector<double> all;
    std::vector<double> ofRare;
    for (const auto &request : m_requests) {
        figures.unfinished += request.state == State::Waiting || request.state == State::Running ? 1 : 0;
        if (request.arrival->at < m_deployment.warmUp) {
            continue;
        }
        figures.finished += request.state == State::Finished ? 1 : 0;
        figures.shed += request.state == State::Shed ? 1 : 0;
        figures.loadFailures += request.state == State::LoadFailed ? 1 : 0;
        const auto stalled = std::chrono::duration<double, std::milli>(request.stalled).count();
        all.push_back(stalled);
        if (rare.contains(request.arrival->adapter)) {
            ofRare.push_back(stalled);
        }
    }
    constexpr double Median = 0.5;
    constexpr double NinetyNine = 0.99;
    figures.stallP50 = percentile(all, Median);
    figures.stallP99 = percentile(all, NinetyNine);
    figures.stallP99Rare = percentile(ofRare, NinetyNine);
    figures.batchEfficiency = m_offeredCapacity > 0 ? m_usedCapacity / m_offeredCapacity : 1;
    return figures;
}

}

Figures simulate(const Deployment &deployment, const Trace &trace, const std::string &policy)
{
    return Run(deployment, trace, policy).run();
}

}
