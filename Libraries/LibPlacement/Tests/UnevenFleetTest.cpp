#include <LibPlacement/EventSpans.h>
#include <LibPlacement/ReplicaChooser.h>
#include <LibPlacement/ReplicaSpeed.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <iostream>
#include <random>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr auto Step = 5ms;
constexpr auto NoticePeriod = 75ms;
constexpr auto KnowledgeAge = 300ms; // Of the loads and speeds by which all hosts choose.
constexpr double PromptTokens = 1500;
constexpr double OutputTokens = 150;
constexpr double PrefillRate = 22.1; // Tokens per millisecond.
constexpr double EventTime = 6.8; // Milliseconds.
constexpr std::uint64_t TokensPerEvent = 5; // As they reach the caller.
constexpr auto PauseLimit = 300ms;

// A request at an engine.
struct Stream {
    Core::TimePoint sentAt {};
    double prompt = PromptTokens; // Still to be processed.
    double output = 0;
    Placement::EventSpans spans;
    Core::TimePoint eventAt {}; // Of the last event that reached the caller.
    bool isLate = false; // A pause was longer than the limit.
};

struct Engine {
    double speed = 1;
    Core::TimePoint stalledUntil {};
    std::vector<Stream> streams;
    Placement::ResponseTimes learned; // By its holder.
};

struct Fleet {
    std::vector<double> speeds;
    double stalledShare = 0; // Of the time.
    double requestsPerSecond = 0;
    bool isSpeedUsed = true;
    unsigned seed = 1;
    // By how much a token takes longer while the engine processes a prompt. With prompts in pieces of 1,024 tokens
    // between two tokens it is 7.8.
    double interruption = 2;
    bool arePausesAvoided = false;
};

struct Result {
    std::vector<double> firstEvents; // Milliseconds, sorted.
    std::vector<std::size_t> choices;
    std::size_t mostActive = 0;
    std::size_t lateStreams = 0; // With a pause above the limit.
    bool isUsualThroughout = true; // All hosts took all engines for equal at all times.

    double quantile(double part) const
    {
        return firstEvents.at(static_cast<std::size_t>(part * static_cast<double>(firstEvents.size() - 1)));
    }
};

// Engines that process one prompt after another and produce events at half the speed meanwhile, under requests from 64
// hosts that all know the same old state of them.
class FleetModel
{
public:
    explicit FleetModel(Fleet fleet)
        : m_fleet(std::move(fleet))
        , m_engines(m_fleet.speeds.size())
        , m_arrivalRandom(m_fleet.seed)
        , m_stallRandom(m_fleet.seed + 100)
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            m_engines[i].speed = m_fleet.speeds[i];
        }
    }

    Result run(Core::Duration duration)
    {
        std::poisson_distribution<int> arrivals(m_fleet.requestsPerSecond
                                                * std::chrono::duration<double>(Step).count());
        for (const auto end = m_now + duration; m_now < end; m_now += Step) {
            for (auto &engine : m_engines) {
                advance(engine);
            }
            if (m_now.time_since_epoch() % NoticePeriod == 0s) {
                publish();
            }
            for (auto count = arrivals(m_arrivalRandom); count > 0; --count) {
                place();
            }
        }
        return std::move(m_result);
    }

private:
    void advance(Engine &engine)
    {
        constexpr double StallSeconds = 0.6;
        const auto stepSeconds = std::chrono::duration<double>(Step).count();
        if (m_now >= engine.stalledUntil
            && std::bernoulli_distribution(m_fleet.stalledShare / (1 - m_fleet.stalledShare) * stepSeconds
                                           / StallSeconds)(m_stallRandom)) {
            engine.stalledUntil = m_now + 600ms;
        }
        const auto speed = engine.speed / (m_now < engine.stalledUntil ? 2.5 : 1);
        auto prefill = PrefillRate * speed * stepSeconds * 1000;
        const bool isPrefilling = std::any_of(engine.streams.begin(), engine.streams.end(), [](const auto &stream) {
            return stream.prompt > 0;
        });
        for (auto &stream : engine.streams) {
            if (stream.prompt > 0) {
                const auto processed = std::min(prefill, stream.prompt);
                prefill -= processed;
                stream.prompt -= processed;
                if (stream.prompt <= 0) {
                    m_result.firstEvents.push_back(
                        std::chrono::duration<double, std::milli>(m_now - stream.sentAt).count());
                }
                continue;
            }
            const auto before = static_cast<std::uint64_t>(stream.output);
            stream.output += stepSeconds * 1000 / EventTime * speed / (isPrefilling ? m_fleet.interruption : 1);
            recordEvent(stream, before);
            if (const auto events = static_cast<std::uint64_t>(stream.output) - before; events > 0) {
                if (const auto time = stream.spans.record(events, m_now); time.has_value()) {
                    engine.learned.record(std::chrono::duration<double, std::micro>(*time).count(), 1, m_now);
                }
            }
        }
        std::erase_if(engine.streams, [](const auto &stream) {
            return stream.output >= OutputTokens;
        });
        m_result.mostActive = std::max(m_result.mostActive, engine.streams.size());
    }

    void recordEvent(Stream &stream, std::uint64_t tokensBefore)
    {
        if (static_cast<std::uint64_t>(stream.output) / TokensPerEvent == tokensBefore / TokensPerEvent) {
            return;
        }
        if (stream.eventAt != Core::TimePoint {} && m_now - stream.eventAt > PauseLimit && !stream.isLate) {
            stream.isLate = true;
            ++m_result.lateStreams;
        }
        stream.eventAt = m_now;
    }

    void publish()
    {
        std::vector<Placement::Candidate> state;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const auto &engine = m_engines[i];
            double waiting = 0;
            for (const auto &stream : engine.streams) {
                waiting += stream.prompt > 0 ? PromptTokens : 0;
            }
            const Core::TargetId id {"e" + std::to_string(i)};
            m_speed.recordEngineTimes("s", id, {.event = engine.learned.learned(m_now)}, m_now);
            state.push_back({.replica = id,
                             .home = id.value,
                             .zone = {"a"},
                             .slots = 24,
                             .active = static_cast<unsigned>(engine.streams.size()),
                             .waitingTokens = static_cast<std::uint64_t>(waiting)});
        }
        m_speed.update(m_now);
        for (auto &candidate : state) {
            const auto speed = m_speed.speed(candidate.replica, m_now);
            m_result.isUsualThroughout = m_result.isUsualThroughout && speed == 1;
            candidate.speed = m_fleet.isSpeedUsed ? speed : 1;
            candidate.eventTime
                = std::chrono::duration_cast<Core::Duration>(m_speed.usualEventTime("s") * TokensPerEvent / speed);
        }
        m_history.push_back(std::move(state));
        if (m_history.size() > KnowledgeAge / NoticePeriod + 1) {
            m_history.pop_front();
        }
    }

    void place()
    {
        if (m_history.empty()) {
            return;
        }
        const auto chosen = *m_chooser.choose({.key = "m/a",
                                               .request = "r" + std::to_string(m_result.choices.size()),
                                               .promptTokens = static_cast<std::uint64_t>(PromptTokens),
                                               .pauseLimit = m_fleet.arePausesAvoided && m_speed.isUneven("s")
                                                   ? Core::Duration(PauseLimit)
                                                   : Core::Duration {}},
                                              m_history.front());
        m_result.choices.push_back(chosen);
        m_engines[chosen].streams.push_back({.sentAt = m_now});
    }

    Fleet m_fleet;
    std::vector<Engine> m_engines;
    Placement::ReplicaSpeed m_speed;
    Placement::ReplicaChooser m_chooser {{.ownZone = {"a"}}};
    std::deque<std::vector<Placement::Candidate>> m_history;
    Core::TimePoint m_now {1h};
    std::mt19937 m_arrivalRandom;
    std::mt19937 m_stallRandom;
    Result m_result;
};

std::vector<double> thirds(std::size_t count)
{
    std::vector<double> speeds;
    for (std::size_t i = 0; i < count; ++i) {
        speeds.push_back(i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1 : 1.6);
    }
    return speeds;
}

// The results of several runs together.
Result runs(Fleet fleet)
{
    Result all;
    for (fleet.seed = 1; fleet.seed <= 4; ++fleet.seed) {
        const auto result = FleetModel(fleet).run(30s);
        all.firstEvents.insert(all.firstEvents.end(), result.firstEvents.begin(), result.firstEvents.end());
        all.choices.insert(all.choices.end(), result.choices.begin(), result.choices.end());
        all.mostActive = std::max(all.mostActive, result.mostActive);
        all.lateStreams += result.lateStreams;
        all.isUsualThroughout = all.isUsualThroughout && result.isUsualThroughout;
    }
    std::sort(all.firstEvents.begin(), all.firstEvents.end());
    return all;
}

std::pair<Result, Result> withAndWithoutSpeed(Fleet fleet)
{
    fleet.isSpeedUsed = true;
    auto with = runs(fleet);
    fleet.isSpeedUsed = false;
    auto without = runs(fleet);
    for (const auto *result : {&with, &without}) {
        std::cerr << "first event ms: median " << result->quantile(0.5) << ", 95th " << result->quantile(0.95)
                  << ", 99th " << result->quantile(0.99) << ", most active " << result->mostActive << "\n";
    }
    return {with, without};
}

}

// Whole fleets under load, with and without what is learned of the engines' speed.
class UnevenFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnevenFleetTest);
    CPPUNIT_TEST(fleetOfOneSpeedIsServedAsBefore);
    CPPUNIT_TEST(threeSpeedsAreServedFaster);
    CPPUNIT_TEST(stallsAreServedNoSlower);
    CPPUNIT_TEST(fewCopiesOfUnevenSpeedAreNotFlooded);
    CPPUNIT_TEST(slowEnginesInterruptFewerStreams);
    CPPUNIT_TEST(pausesAreIgnoredInFleetOfOneSpeed);
    CPPUNIT_TEST_SUITE_END();

    // Load makes equal engines look unequal at any moment. No host may choose otherwise by it.
    void fleetOfOneSpeedIsServedAsBefore()
    {
        for (const double requestsPerSecond : {60, 200, 260}) {
            const auto [with, without]
                = withAndWithoutSpeed({.speeds = std::vector<double>(24, 1), .requestsPerSecond = requestsPerSecond});
            CPPUNIT_ASSERT(with.isUsualThroughout);
            CPPUNIT_ASSERT(with.choices == without.choices);
        }
    }

    // A third of the servers is slow and gets as many requests as the others, so that its queues grow.
    void threeSpeedsAreServedFaster()
    {
        const auto [with, without] = withAndWithoutSpeed({.speeds = thirds(24), .requestsPerSecond = 210});
        CPPUNIT_ASSERT(with.quantile(0.5) < without.quantile(0.5));
        CPPUNIT_ASSERT(with.quantile(0.95) < 0.9 * without.quantile(0.95));
        CPPUNIT_ASSERT(with.quantile(0.99) < 0.9 * without.quantile(0.99));
        CPPUNIT_ASSERT(with.mostActive <= without.mostActive);
    }

    // Short stalls and three speeds. Stalls that are learned too late or kept too long would cost more than they save.
    void stallsAreServedNoSlower()
    {
        const auto [with, without]
            = withAndWithoutSpeed({.speeds = thirds(24), .stalledShare = 0.15, .requestsPerSecond = 170});
        CPPUNIT_ASSERT(with.quantile(0.95) < 0.9 * without.quantile(0.95));
        CPPUNIT_ASSERT(with.quantile(0.99) < without.quantile(0.99));
    }

    // All copies of an adapter are compared, and 64 hosts know the same old state of them. They must not all choose the
    // fastest one until they hear of its queue.
    void fewCopiesOfUnevenSpeedAreNotFlooded()
    {
        const auto [with, without] = withAndWithoutSpeed({.speeds = thirds(6), .requestsPerSecond = 45});
        CPPUNIT_ASSERT(with.quantile(0.95) <= without.quantile(0.95));
        CPPUNIT_ASSERT(with.mostActive <= without.mostActive + 2);
    }

    static std::pair<Result, Result> withAndWithoutPauses(Fleet fleet)
    {
        fleet.interruption = 7.8;
        fleet.arePausesAvoided = true;
        auto with = runs(fleet);
        fleet.arePausesAvoided = false;
        auto without = runs(fleet);
        for (const auto *result : {&with, &without}) {
            std::cerr << "streams " << result->choices.size() << ", late by a pause " << result->lateStreams
                      << ", first event ms: median " << result->quantile(0.5) << ", 95th " << result->quantile(0.95)
                      << "\n";
        }
        return {std::move(with), std::move(without)};
    }

    // Prompts at an engine of 0.6 of the usual speed hold all of its streams up for longer than callers accept.
    // Choosing by the time of the first event alone sends them there once the others are busy.
    void slowEnginesInterruptFewerStreams()
    {
        const auto [with, without]
            = withAndWithoutPauses({.speeds = thirds(9), .stalledShare = 0.15, .requestsPerSecond = 50});
        CPPUNIT_ASSERT(with.lateStreams < without.lateStreams);
        CPPUNIT_ASSERT(with.quantile(0.95) <= without.quantile(0.95));
    }

    // Deployments with engines of one speed are served as before.
    void pausesAreIgnoredInFleetOfOneSpeed()
    {
        const auto [with, without]
            = withAndWithoutPauses({.speeds = std::vector<double>(9, 1), .requestsPerSecond = 50});
        CPPUNIT_ASSERT(with.choices == without.choices);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnevenFleetTest);
