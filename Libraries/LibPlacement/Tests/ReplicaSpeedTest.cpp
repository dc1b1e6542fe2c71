#include <LibPlacement/EventSpans.h>
#include <LibPlacement/ReplicaChooser.h>
#include <LibPlacement/ReplicaSpeed.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr double UsualEvent = 6800; // Microseconds.
constexpr double Stall = 2.5;
constexpr auto NoticePeriod = 75ms;

}

// What is learned of replicas of uneven speed, and what isn't taken for it.
class ReplicaSpeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaSpeedTest);
    CPPUNIT_TEST(slowThirdOfTheEnginesIsLearned);
    CPPUNIT_TEST(enginesOfOneSpeedStayUsualDespiteNoise);
    CPPUNIT_TEST(shortStallIsSeenAndForgotten);
    CPPUNIT_TEST(singleLateEventIsNoStall);
    CPPUNIT_TEST(repeatedStallsDoNotMakeAnEngineSlow);
    CPPUNIT_TEST(newFastEngineIsTrustedStepByStep);
    CPPUNIT_TEST(engineWithoutResponsesBecomesUsual);
    CPPUNIT_TEST(timesToTheFirstEventAreUsedWithoutStreams);
    CPPUNIT_TEST(twoEnginesHaveNoUsualSpeed);
    CPPUNIT_TEST(invalidTimesAreIgnored);
    CPPUNIT_TEST(lateResponseOfPlainServiceCountsBriefly);
    CPPUNIT_TEST(variableResponsesOfPlainServiceAreNotCompared);
    CPPUNIT_TEST(routesOfPlainServiceAreComparedWithThemselves);
    CPPUNIT_TEST(promptOfAnotherRequestIsNoSlowEvent);
    CPPUNIT_TEST(eventsThatArriveTogetherAreCounted);
    CPPUNIT_TEST(slowReplicaIsChosenLater);
    CPPUNIT_TEST(fullMemoryCountsAsFullSlots);
    CPPUNIT_TEST_SUITE_END();

    Core::TimePoint m_now {1h};
    Placement::ReplicaSpeed m_speed;
    std::vector<Placement::ResponseTimes> m_holders; // What the holder of each engine has learned.
    std::mt19937 m_random {7};

    static Core::TargetId engine(std::size_t index)
    {
        return {"e" + std::to_string(index)};
    }

    double speedOf(std::size_t index) const
    {
        return m_speed.speed(engine(index), m_now);
    }

    // Runs engines whose events take these multiples of the usual time, with so much noise. Each holder is told of
    // several samples at each notice.
    void run(const std::vector<double> &times, Core::Duration duration, double noise = 0.1, double samples = 3)
    {
        std::uniform_real_distribution<double> factor(1 - noise, 1 + noise);
        m_holders.resize(times.size());
        for (const auto end = m_now + duration; m_now < end; m_now += NoticePeriod) {
            for (std::size_t i = 0; i < times.size(); ++i) {
                if (times[i] > 0) {
                    m_holders[i].record(UsualEvent * times[i] * factor(m_random), samples, m_now);
                }
                m_speed.recordEngineTimes("s", engine(i), {.event = m_holders[i].learned(m_now)}, m_now);
            }
            m_speed.update(m_now);
        }
    }

    // A third of the engines works at 0.6 and another at 1.6 times the usual speed. With one speed assumed, the slow
    // ones get as many requests as the others and their queues grow.
    void slowThirdOfTheEnginesIsLearned()
    {
        const std::vector<double> times {1 / 0.6, 1, 1 / 1.6, 1 / 0.6, 1, 1 / 1.6, 1 / 0.6, 1, 1 / 1.6};
        run(times, 4s);
        for (std::size_t i = 0; i < times.size(); ++i) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1 / times[i], speedOf(i), 0.12);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_speed.unusualReplicas(m_now).slow);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_speed.unusualReplicas(m_now).fast);
    }

    // In a fleet of one speed, load and noise make the times differ, which must not change a single choice.
    void enginesOfOneSpeedStayUsualDespiteNoise()
    {
        std::uniform_real_distribution<double> factor(0.9, 1.15);
        for (int round = 0; round < 100; ++round) {
            std::vector<double> times(9);
            for (auto &time : times) {
                time = factor(m_random);
            }
            run(times, 300ms, 0.2);
            for (std::size_t i = 0; i < times.size(); ++i) {
                CPPUNIT_ASSERT_EQUAL(1.0, speedOf(i));
            }
        }
    }

    // An engine is 2.5 times slower for 600 ms. What is learned after that, or not forgotten then, does harm.
    void shortStallIsSeenAndForgotten()
    {
        std::vector<double> times(9, 1);
        run(times, 5s);
        times[0] = Stall;
        run(times, 225ms, 0.03);
        CPPUNIT_ASSERT(speedOf(0) < 0.7);
        run(times, 375ms, 0.03);
        CPPUNIT_ASSERT(speedOf(0) < 0.7);
        times[0] = 1;
        run(times, 225ms);
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
    }

    // One stream stalls because its host has no processor time. The engine is as fast as before.
    void singleLateEventIsNoStall()
    {
        std::vector<double> times(9, 1);
        run(times, 5s);
        m_holders[0].record(UsualEvent * 20, 1, m_now);
        run(times, 75ms);
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
    }

    // Stalls in a row must not add up to a lasting judgement that sends requests away from a usual engine.
    void repeatedStallsDoNotMakeAnEngineSlow()
    {
        std::vector<double> times(9, 1);
        run(times, 5s);
        for (int stall = 0; stall < 5; ++stall) {
            times[0] = Stall;
            run(times, 600ms);
            times[0] = 1;
            run(times, 3400ms);
            CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
        }
    }

    // The first responses of a new engine are few. Taking them at their word would send every host to it.
    void newFastEngineIsTrustedStepByStep()
    {
        std::vector<double> times(9, 1);
        times[8] = 0;
        run(times, 5s);
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(8));
        times[8] = 1 / 1.6;
        run(times, 1500ms);
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(8));
        run(times, 2500ms);
        CPPUNIT_ASSERT(speedOf(8) > 1.4);
    }

    // The holder of a slow engine is cut off, or the engine gets no requests any more. An old judgement would keep it
    // unused for good.
    void engineWithoutResponsesBecomesUsual()
    {
        std::vector<double> times(9, 1);
        times[0] = Stall;
        run(times, 5s);
        CPPUNIT_ASSERT(speedOf(0) < 0.5);
        const auto holderKnows = m_holders[0].learned(m_now);
        for (const auto end = m_now + 10s; m_now < end; m_now += NoticePeriod) {
            for (std::size_t i = 1; i < times.size(); ++i) {
                m_speed.recordEngineTimes("s", engine(i), {.event = m_holders[i].learned(m_now)}, m_now);
            }
            m_speed.update(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
        // With a holder, but without responses for a minute.
        CPPUNIT_ASSERT(holderKnows.samples > 10);
        CPPUNIT_ASSERT_EQUAL(0.0, m_holders[0].learned(m_now + 1min).samples);
    }

    // Responses of a few tokens show no time between events. The time to the first event shows a slow engine too.
    void timesToTheFirstEventAreUsedWithoutStreams()
    {
        for (std::size_t i = 0; i < 5; ++i) {
            const Placement::LearnedTime prefill {.time = i == 0 ? 80000.0 : 45000.0, .samples = 40};
            m_speed.recordEngineTimes("s", engine(i), {.event = {}, .prefill = prefill}, m_now);
        }
        m_speed.update(m_now);
        CPPUNIT_ASSERT(speedOf(0) < 0.65);
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(1));
    }

    void twoEnginesHaveNoUsualSpeed()
    {
        run({1, Stall}, 5s);
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(1));
    }

    // A host of another version may report anything.
    void invalidTimesAreIgnored()
    {
        Placement::ResponseTimes times;
        times.record(0, 5, m_now);
        times.record(1e300 * 1e300, 5, m_now);
        CPPUNIT_ASSERT_EQUAL(0.0, times.learned(m_now).samples);
        for (std::size_t i = 0; i < 4; ++i) {
            m_speed.recordEngineTimes("s", engine(i), {.event = {.time = 0, .samples = 50}}, m_now);
        }
        m_speed.update(m_now);
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
    }

    // Responses of three servers of a plain service at one host, each once a second.
    void respond(const std::string &route, double usual, double variation, Core::Duration duration)
    {
        std::exponential_distribution<double> extra(1);
        for (const auto end = m_now + duration; m_now < end; m_now += 333ms) {
            const auto index = static_cast<std::size_t>((m_now.time_since_epoch() / 333ms) % 3);
            const auto milliseconds = usual * (1 - variation + variation * extra(m_random));
            m_speed.recordResponse(
                "p", engine(index), route,
                std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double, std::milli>(milliseconds)),
                m_now);
            m_speed.update(m_now);
        }
    }

    // A plain service stalls for 600 ms, in which a host sees at most one or two of its responses. A late one must
    // count at once, and no longer than the rest of the stall.
    void lateResponseOfPlainServiceCountsBriefly()
    {
        respond("r", 30, 0.1, 20s);
        for (std::size_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(1.0, speedOf(i));
        }
        m_speed.recordResponse("p", engine(0), "r", 75ms, m_now);
        CPPUNIT_ASSERT(speedOf(0) < 0.85);
        m_now += 500ms;
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
        CPPUNIT_ASSERT(m_speed.usualResponse("p") > 25ms && m_speed.usualResponse("p") < 35ms);
    }

    // The work of the requests differs, so that a late response shows nothing. Hosts must not leave their zone by it.
    void variableResponsesOfPlainServiceAreNotCompared()
    {
        respond("r", 30, 1, 10s);
        for (int step = 0; step < 200; ++step) {
            respond("r", 30, 1, 333ms);
            for (std::size_t i = 0; i < 3; ++i) {
                CPPUNIT_ASSERT_EQUAL(1.0, speedOf(i));
            }
        }
    }

    // One route takes ten times as long as another. A server that happens to get its requests isn't slow.
    void routesOfPlainServiceAreComparedWithThemselves()
    {
        for (int round = 0; round < 10; ++round) {
            respond("short", 10, 0.1, 3s);
            respond("long", 100, 0.1, 3s);
        }
        for (int response = 0; response < 5; ++response) {
            m_speed.recordResponse("p", engine(0), "long", 100ms, m_now);
            m_speed.recordResponse("p", engine(1), "short", 10ms, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(0));
        CPPUNIT_ASSERT_EQUAL(1.0, speedOf(1));
    }

    // The engine interrupts its streams for another request's long prompt, which would make a busy engine look slow.
    void promptOfAnotherRequestIsNoSlowEvent()
    {
        Placement::EventSpans spans;
        for (int event = 0; event < 60; ++event) {
            m_now += event % 7 == 3 ? 80ms : 7ms;
            const auto time = spans.record(1, m_now);
            CPPUNIT_ASSERT(!time.has_value() || *time == 7ms);
        }
    }

    // A host with little processor time reads several events at once.
    void eventsThatArriveTogetherAreCounted()
    {
        Placement::EventSpans spans;
        for (int read = 0; read < 20; ++read) {
            m_now += 84ms;
            const auto time = spans.record(12, m_now);
            CPPUNIT_ASSERT(!time.has_value() || *time == 7ms);
        }
    }

    static std::vector<Placement::Candidate> twoEngines()
    {
        std::vector<Placement::Candidate> candidates(2);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i] = {.replica = engine(i), .home = engine(i).value, .zone = {"a"}, .slots = 24, .active = 6};
            candidates[i].waitingTokens = 1000;
        }
        return candidates;
    }

    // The requests of a slow engine wait longer for the same number of prompt tokens before them.
    void slowReplicaIsChosenLater()
    {
        const Placement::ReplicaChooser chooser({.ownZone = {"a"}});
        const auto choose = [&chooser](const std::vector<Placement::Candidate> &candidates) {
            return *chooser.choose({.key = "m/a1", .request = "r", .promptTokens = 1500}, candidates);
        };
        for (std::size_t slow = 0; slow < 2; ++slow) {
            auto candidates = twoEngines();
            candidates[slow].speed = 0.5;
            CPPUNIT_ASSERT_EQUAL(1 - slow, choose(candidates));
            // Its speed isn't a ban: with enough load at the other engine, the slow one is the better choice.
            candidates[1 - slow].waitingTokens = 8000;
            CPPUNIT_ASSERT_EQUAL(slow, choose(candidates));
        }
    }

    // Long requests fill the memory of an engine that has free slots, which then interrupts streams or rejects.
    void fullMemoryCountsAsFullSlots()
    {
        const Placement::ReplicaChooser chooser({.ownZone = {"a"}});
        const Placement::PlacementRequest request {
            .key = "m/a1", .request = "r", .promptTokens = 1500, .totalTokens = 1800};
        for (std::size_t full = 0; full < 2; ++full) {
            auto candidates = twoEngines();
            for (auto &candidate : candidates) {
                candidate.memoryTokens = 95183;
                candidate.usedTokens = 20000;
            }
            candidates[full].usedTokens = 90000;
            CPPUNIT_ASSERT_EQUAL(1 - full, *chooser.choose(request, candidates));
            // A request that doesn't fit waits, even if the other engine has a queue of prompts.
            candidates[full].usedTokens = 94000;
            candidates[1 - full].waitingTokens = 5000;
            CPPUNIT_ASSERT_EQUAL(1 - full, *chooser.choose(request, candidates));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaSpeedTest);
