#include <LibPlacement/AdmissionShare.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr auto Objective = 150ms;

struct Load {
    double perSecond = 0; // Requests at all hosts.
    Core::Duration duration = 10s;
    bool isControlled = true;
};

struct Outcome {
    unsigned onTime = 0;
    unsigned late = 0;
    unsigned refused = 0; // By a host, at once.
    unsigned rejected = 0; // By the server, which is full.
};

// One server with six slots and a queue of 24 requests, each of which takes some 30 ms, behind 64 hosts.
class Server
{
public:
    Outcome play(const Load &load)
    {
        const auto begin = m_now;
        Outcome outcome;
        std::exponential_distribution<double> gap(load.perSecond);
        std::uniform_int_distribution<std::size_t> host(0, m_hosts.size() - 1);
        while (m_now < begin + load.duration) {
            m_now += std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(gap(m_random)));
            deliver();
            auto &sender = m_hosts[host(m_random)];
            if (load.isControlled && !sender.admits(std::to_string(++m_count), m_now)) {
                ++outcome.refused;
            } else {
                accept(sender, outcome);
            }
        }
        return outcome;
    }

    [[nodiscard]] double meanShare() const
    {
        double sum = 0;
        for (const auto &host : m_hosts) {
            sum += host.share(m_now);
        }
        return sum / static_cast<double>(m_hosts.size());
    }

private:
    struct Response {
        Core::TimePoint at {};
        Core::Duration time {};
        Placement::AdmissionShare *host = nullptr;

        bool operator>(const Response &other) const
        {
            return at > other.at;
        }
    };

    void accept(Placement::AdmissionShare &host, Outcome &outcome)
    {
        constexpr std::size_t MostInServer = 30;
        if (m_responses.size() >= MostInServer) {
            ++outcome.rejected;
            host.recordRejection(m_now);
            return;
        }
        std::uniform_real_distribution<double> work(0.015, 0.045);
        const auto slot = std::min_element(m_freeAt.begin(), m_freeAt.end());
        const auto start = std::max(*slot, m_now);
        *slot = start + std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(work(m_random)));
        const auto time = *slot - m_now;
        ++(time <= Objective ? outcome.onTime : outcome.late);
        m_responses.push({.at = *slot, .time = time, .host = &host});
    }

    void deliver()
    {
        while (!m_responses.empty() && m_responses.top().at <= m_now) {
            const auto response = m_responses.top();
            m_responses.pop();
            response.host->recordResponse(response.time, Objective, response.at);
        }
    }

    std::mt19937 m_random {11};
    Core::TimePoint m_now {1h};
    std::size_t m_count = 0;
    std::vector<Placement::AdmissionShare> m_hosts {64};
    std::vector<Core::TimePoint> m_freeAt {6};
    std::priority_queue<Response, std::vector<Response>, std::greater<>> m_responses;
};

}

class AdmissionShareTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionShareTest);
    CPPUNIT_TEST(overloadedServerAnswersOnTime);
    CPPUNIT_TEST(serverWithRoomGetsEverything);
    CPPUNIT_TEST(shareRecoversAfterTheOverload);
    CPPUNIT_TEST(lateResponsesOfOneQueueCountOnce);
    CPPUNIT_TEST_SUITE_END();

    // Half more requests than the server can answer, for seconds. Guards against a queue that makes every response
    // late.
    void overloadedServerAnswersOnTime()
    {
        Server uncontrolled;
        const auto before = uncontrolled.play({.perSecond = 300, .isControlled = false});
        Server server;
        (void)server.play({.perSecond = 300, .duration = 2s});
        const auto after = server.play({.perSecond = 300});
        CPPUNIT_ASSERT(before.onTime < before.late + before.rejected);
        constexpr double PossiblePerSecond = 200;
        CPPUNIT_ASSERT(after.onTime > 0.85 * PossiblePerSecond * 10);
        CPPUNIT_ASSERT(after.late < after.onTime / 4);
    }

    // Guards against refusals while the server has free slots.
    void serverWithRoomGetsEverything()
    {
        Server server;
        const auto outcome = server.play({.perSecond = 120});
        CPPUNIT_ASSERT(outcome.refused + outcome.rejected < outcome.onTime / 200);
    }

    // Guards against a server that is left idle after its load has fallen.
    void shareRecoversAfterTheOverload()
    {
        Server server;
        (void)server.play({.perSecond = 300});
        (void)server.play({.perSecond = 100, .duration = 3s});
        CPPUNIT_ASSERT(server.meanShare() > 0.9);
    }

    void lateResponsesOfOneQueueCountOnce()
    {
        Placement::AdmissionShare share;
        const Core::TimePoint now(1h);
        for (int i = 0; i < 5; ++i) {
            share.recordResponse(200ms, Objective, now + i * 10ms);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, share.share(now), 0.001);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionShareTest);
