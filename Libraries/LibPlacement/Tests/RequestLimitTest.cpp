#include <LibPlacement/RequestLimit.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <numeric>
#include <random>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr auto Window = 4s;
constexpr auto AdaptationTime = 3s; // After this time, the replica expects its limit to be kept.

struct Load {
    double perSecond = 0; // The limit.
    std::vector<double> demands; // Requests per second at each host.
    // Age of what the hosts know of each other; empty if they know nothing.
    std::optional<Core::Duration> lag;
    unsigned seed = 1;
};

// Hosts that send requests to one replica as its limit allows.
std::vector<Core::TimePoint> play(const Load &load, Core::Duration duration)
{
    constexpr auto Step = 5ms;
    std::mt19937 random(load.seed);
    std::vector<Placement::RequestLimit> hosts(load.demands.size());
    std::vector<std::vector<unsigned>> history; // Recent requests of each host, by step.
    std::vector<Core::TimePoint> sends;
    const Core::TimePoint start(1h);
    for (auto &host : hosts) {
        host.record(load.perSecond, start, start);
    }
    for (auto now = start; now < start + duration; now += Step) {
        auto &current = history.emplace_back();
        for (const auto &host : hosts) {
            current.push_back(host.recent(now));
        }
        const auto age = static_cast<std::size_t>(load.lag.value_or(0ms) / Step);
        const auto &known = history[history.size() - 1 - std::min(age, history.size() - 1)];
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            Placement::LimitSharing sharing {.hostCount = hosts.size(),
                                             .phase = static_cast<double>(i) / static_cast<double>(hosts.size())};
            if (load.lag.has_value()) {
                sharing.othersRecent = std::accumulate(known.begin(), known.end(), 0U) - known[i];
            }
            const double chance = load.demands[i] * std::chrono::duration<double>(Step).count();
            if (std::bernoulli_distribution(std::min(chance, 1.0))(random) && hosts[i].usedShare(sharing, now) < 1) {
                hosts[i].recordSend(now);
                sends.push_back(now);
            }
        }
    }
    return sends;
}

// The largest number of requests in any window that begins after the time in which the hosts adapt.
std::size_t mostInWindow(const std::vector<Core::TimePoint> &sends)
{
    std::size_t most = 0;
    const auto begin = std::lower_bound(sends.begin(), sends.end(), Core::TimePoint(1h) + AdaptationTime);
    for (auto first = begin; first != sends.end(); ++first) {
        most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, sends.end(), *first + Window) - first));
    }
    return most;
}

double allowed(double perSecond)
{
    return 1.5 * perSecond * std::chrono::duration<double>(Window).count() + 5;
}

}

class RequestLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestLimitTest);
    CPPUNIT_TEST(hostsThatKnowEachOtherKeepTheLimit);
    CPPUNIT_TEST(hostsThatKnowNothingOfEachOtherKeepTheLimit);
    CPPUNIT_TEST(hostWithAllTheTrafficUsesTheLimit);
    CPPUNIT_TEST(tinyLimitLetsARequestThrough);
    CPPUNIT_TEST(limitEndsByTheResponseToALaterRequest);
    CPPUNIT_TEST(zeroAndEnormousLimits);
    CPPUNIT_TEST(waitTellsWhenThereIsRoom);
    CPPUNIT_TEST_SUITE_END();

    // A replica that needed relief got requests from each of many hosts as if that host were alone.
    void hostsThatKnowEachOtherKeepTheLimit()
    {
        for (const double perSecond : {0.5, 3.7, 16.8, 100.0}) {
            for (const std::size_t count : {1U, 6U, 60U}) {
                for (unsigned seed = 1; seed <= 5; ++seed) {
                    const std::vector<double> demands(count, 3 * perSecond / static_cast<double>(count));
                    const auto sends
                        = play({.perSecond = perSecond, .demands = demands, .lag = 200ms, .seed = seed}, 20s);
                    CPPUNIT_ASSERT(static_cast<double>(mostInWindow(sends)) <= allowed(perSecond));
                    CPPUNIT_ASSERT(static_cast<double>(sends.size()) >= 0.8 * perSecond * 20 - 2);
                }
            }
        }
    }

    // Hosts that are cut off from the replica's holder, or a service that has no holder.
    void hostsThatKnowNothingOfEachOtherKeepTheLimit()
    {
        for (const double perSecond : {0.5, 3.7, 16.8, 100.0}) {
            for (const std::size_t count : {1U, 6U, 60U}) {
                const std::vector<double> demands(count, 3 * perSecond / static_cast<double>(count));
                const auto sends = play({.perSecond = perSecond, .demands = demands, .lag = {}}, 30s);
                CPPUNIT_ASSERT(static_cast<double>(mostInWindow(sends)) <= allowed(perSecond));
            }
        }
    }

    // Equal parts would give the only host with requests a sixtieth.
    void hostWithAllTheTrafficUsesTheLimit()
    {
        std::vector<double> demands(60, 0);
        demands[7] = 20;
        const auto sends = play({.perSecond = 10, .demands = demands, .lag = 200ms}, 20s);
        CPPUNIT_ASSERT(sends.size() >= 190 && static_cast<double>(mostInWindow(sends)) <= allowed(10));
    }

    // The only replica that has a rarely used adapter must not become unreachable, and it has to be able to say that it
    // isn't in need any more.
    void tinyLimitLetsARequestThrough()
    {
        for (const bool isKnown : {true, false}) {
            const auto sends = play({.perSecond = 0.01,
                                     .demands = {1, 1, 1},
                                     .lag = isKnown ? std::optional<Core::Duration>(200ms) : std::nullopt},
                                    40s);
            CPPUNIT_ASSERT(sends.size() >= 3);
            CPPUNIT_ASSERT(static_cast<double>(mostInWindow(sends)) <= allowed(0.01));
        }
    }

    // Responses overtake each other, and one from before the need would lift the limit.
    void limitEndsByTheResponseToALaterRequest()
    {
        using enum Placement::RequestLimit::Change;
        Placement::RequestLimit limit;
        const Core::TimePoint start(1h);
        CPPUNIT_ASSERT(limit.record(std::nullopt, start, start) == None);
        CPPUNIT_ASSERT(limit.record(2.0, start, start + 1s) == Begun);
        CPPUNIT_ASSERT(limit.record(3.5, start, start + 2s) == None);
        CPPUNIT_ASSERT(limit.record(std::nullopt, start + 2s, start + 3s) == None);
        CPPUNIT_ASSERT(limit.isSet());
        CPPUNIT_ASSERT(limit.record(std::nullopt, start + 2500ms, start + 3s) == Ended);
        CPPUNIT_ASSERT(!limit.isSet());
        CPPUNIT_ASSERT_EQUAL(0.0, limit.usedShare({}, start + 3s));
    }

    void zeroAndEnormousLimits()
    {
        const Core::TimePoint start(1h);
        Placement::RequestLimit limit;
        limit.record(0.0, start, start);
        CPPUNIT_ASSERT(limit.usedShare({.othersRecent = 0}, start) < 1);
        limit.recordSend(start);
        CPPUNIT_ASSERT(limit.usedShare({.othersRecent = 0}, start + 3999ms) >= 1);
        CPPUNIT_ASSERT(limit.usedShare({.othersRecent = 0}, start + 4s) < 1);
        limit.record(std::numeric_limits<double>::max(), start, start);
        for (int number = 0; number < 1000; ++number) {
            limit.recordSend(start);
        }
        CPPUNIT_ASSERT(limit.usedShare({.othersRecent = 1000}, start) < 0.01);
        CPPUNIT_ASSERT(limit.untilRoom({}, start) == Core::Duration::zero());
    }

    void waitTellsWhenThereIsRoom()
    {
        const Core::TimePoint start(1h);
        Placement::RequestLimit limit;
        CPPUNIT_ASSERT(limit.untilRoom({}, start) == Core::Duration::zero());
        limit.record(2.0, start, start);
        for (int number = 0; number < 8; ++number) {
            limit.recordSend(start);
        }
        CPPUNIT_ASSERT(limit.untilRoom({.othersRecent = 0}, start) == 500ms);
        CPPUNIT_ASSERT(limit.untilRoom({.hostCount = 80}, start + 1s) == 39s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitTest);
