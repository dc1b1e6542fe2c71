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
    // From 8 s on there are no news for this time, and for half a second more the new holder knows of no request.
    Core::Duration withoutHolder {};

    [[nodiscard]] bool isWithoutNews(Core::Duration elapsed) const
    {
        return elapsed >= 8s && elapsed < 8s + withoutHolder;
    }
    [[nodiscard]] bool isHolderNew(Core::Duration elapsed) const
    {
        return withoutHolder > 0s && elapsed >= 8s + withoutHolder && elapsed < 8500ms + withoutHolder;
    }
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
            const bool hasNews = load.lag.has_value() && !load.isWithoutNews(now - start);
            const Placement::LimitSharing sharing {.hostCount = hosts.size(),
                                                   .phase = static_cast<double>(i) / static_cast<double>(hosts.size())};
            if (hasNews) {
                const auto others = std::accumulate(known.begin(), known.end(), 0U) - known[i];
                const auto senders = std::ranges::count_if(known, [](unsigned sent) {
                    return sent > 0;
                });
                const bool isKnown = !load.isHolderNew(now - start);
                hosts[i].recordOthers(isKnown ? others : 0, isKnown ? static_cast<std::size_t>(senders) : 0, now);
            }
            const double chance = load.demands[i] * std::chrono::duration<double>(Step).count();
            if (std::bernoulli_distribution(std::min(chance, 1.0))(random)
                && hosts[i].untilRoom(sharing, now) == Core::Duration::zero()) {
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
    CPPUNIT_TEST(limitIsKeptWhileTheHolderChanges);
    CPPUNIT_TEST(requestsFromBeforeTheLimitCount);
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
                    const std::vector<double> demands(count, 9 * perSecond / static_cast<double>(count));
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

    // Hosts that had sent little took their equal share beside what the others had sent before, and a new holder that
    // had not heard of any request gave each host the whole limit.
    void limitIsKeptWhileTheHolderChanges()
    {
        for (const Core::Duration withoutHolder : {500ms, 3000ms, 6000ms}) {
            for (const double perSecond : {0.5, 3.2, 16.8}) {
                for (unsigned seed = 1; seed <= 20; ++seed) {
                    const std::vector<double> one {3 * perSecond, perSecond, 0.1, 0.1, 0.1, 0.1};
                    const std::vector<double> all(6, perSecond);
                    for (const auto &demands : {one, all}) {
                        const auto sends = play({.perSecond = perSecond,
                                                 .demands = demands,
                                                 .lag = 200ms,
                                                 .seed = seed,
                                                 .withoutHolder = withoutHolder},
                                                24s);
                        CPPUNIT_ASSERT(static_cast<double>(mostInWindow(sends)) <= allowed(perSecond));
                    }
                }
            }
        }
    }

    // The first window after a limit was named held what it allows and what had been sent before.
    void requestsFromBeforeTheLimitCount()
    {
        const Core::TimePoint start(1h);
        Placement::RequestLimit limit;
        for (int number = 0; number < 16; ++number) {
            limit.recordSend(start);
        }
        limit.recordOthers(0, 0, start);
        limit.record(2.5, start, start + 1s);
        CPPUNIT_ASSERT(limit.untilRoom({}, start + 3999ms) > Core::Duration::zero());
        CPPUNIT_ASSERT(limit.untilRoom({}, start + 4s) == Core::Duration::zero());
    }

    // Equal parts would give the only host with requests a sixtieth.
    void hostWithAllTheTrafficUsesTheLimit()
    {
        std::vector<double> demands(60, 0);
        demands[7] = 20;
        const auto sends = play({.perSecond = 10, .demands = demands, .lag = 200ms}, 20s);
        CPPUNIT_ASSERT(sends.size() >= 180 && static_cast<double>(mostInWindow(sends)) <= allowed(10));
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
        limit.recordSend(start + 3s);
        CPPUNIT_ASSERT(limit.usedShare(start + 3s) > 0);
        CPPUNIT_ASSERT(limit.record(std::nullopt, start + 2500ms, start + 3s) == Ended);
        CPPUNIT_ASSERT_EQUAL(0.0, limit.usedShare(start + 3s));
    }

    void zeroAndEnormousLimits()
    {
        const Core::TimePoint start(1h);
        const Placement::LimitSharing alone;
        Placement::RequestLimit limit;
        limit.record(0.0, start, start);
        for (int number = 0; number < 4; ++number) {
            CPPUNIT_ASSERT(limit.untilRoom(alone, start + number * 200ms) == Core::Duration::zero());
            limit.recordSend(start + number * 200ms);
        }
        CPPUNIT_ASSERT(limit.untilRoom(alone, start + 3999ms) > Core::Duration::zero());
        CPPUNIT_ASSERT(limit.untilRoom(alone, start + 4s) == Core::Duration::zero());
        limit.record(std::numeric_limits<double>::max(), start, start);
        limit.recordOthers(1000, 5, start);
        CPPUNIT_ASSERT(limit.usedShare(start) < 0.01);
        CPPUNIT_ASSERT(limit.untilRoom({}, start) == Core::Duration::zero());
    }

    void waitTellsWhenThereIsRoom()
    {
        const Core::TimePoint start(1h);
        Placement::RequestLimit limit;
        CPPUNIT_ASSERT(limit.untilRoom({}, start) == Core::Duration::zero());
        limit.record(2.5, start, start);
        for (int number = 0; number < 16; ++number) {
            limit.recordSend(start);
        }
        CPPUNIT_ASSERT(limit.untilRoom({}, start) == 250ms);
        CPPUNIT_ASSERT(limit.untilRoom({.hostCount = 80}, start + 1s) == 19s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitTest);
