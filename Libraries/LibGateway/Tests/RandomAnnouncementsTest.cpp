#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace std::chrono_literals;

namespace {

constexpr unsigned Slots = 4;
constexpr int Replicas = 5;

// Replicas that leave, pause, fail, restart and drop out of the list at random, while requests arrive.
class RandomFleet
{
public:
    explicit RandomFleet(unsigned seed)
        : m_random(seed)
    {
        for (int number = 0; number < Replicas; ++number) {
            m_startedAt["r" + std::to_string(number)] = 1;
        }
        list();
    }

    void run()
    {
        for (int step = 0; step < 400; ++step) {
            m_host.scheduler.advance(std::chrono::milliseconds(chance(200)));
            checkSends();
            startRequests();
            for (auto count = chance(6); count > 0; --count) {
                answerOne();
                checkSends();
            }
            finishLoads();
            if (chance(10) == 0) {
                changeList();
            }
        }
        m_host.scheduler.advance(1min);
        checkSends();
        for (const auto &caller : m_callers) {
            CPPUNIT_ASSERT(caller->isEnded);
        }
    }

    [[nodiscard]] std::uint64_t leavingCount() const
    {
        return m_host.metrics.countOf("currantbay_replicas_leaving_total");
    }
    [[nodiscard]] std::uint64_t pauseCount() const
    {
        return m_host.metrics.countOf("currantbay_replica_pauses_total");
    }

private:
    using Incarnation = std::pair<std::string, std::uint64_t>;

    unsigned chance(unsigned limit)
    {
        return static_cast<unsigned>(m_random() % limit);
    }

    void list()
    {
        std::vector<Fleet::Replica> listed;
        for (const auto &[id, startedAt] : m_startedAt) {
            if (!m_unlisted.contains(id)) {
                listed.push_back(Tests::ForwardingHarness::replica(id, startedAt, Slots));
            }
        }
        m_host.list(listed);
    }

    void changeList()
    {
        const auto id = "r" + std::to_string(chance(Replicas));
        switch (chance(3)) {
        case 0:
            ++m_startedAt[id];
            break;
        case 1:
            m_unlisted.insert(id);
            break;
        default:
            m_unlisted.clear();
        }
        list();
        checkSends();
    }

    void startRequests()
    {
        for (auto count = chance(5); count > 0; --count) {
            Gateway::CallerRequest request {.attemptId = std::to_string(m_callers.size())};
            Routes::Route route {
                .kind = Routes::RequestKind::Unsafe, .timeout = 3s, .objective = 500ms, .maxAttempts = 1};
            if (chance(2) == 0) {
                route.kind = Routes::RequestKind::Stream;
                route.isResumable = true;
                route.maxAttempts = 3;
                request.model = "m";
                request.adapter = chance(2) == 0 ? "a" + std::to_string(chance(4)) : "";
            }
            m_callers.push_back(m_host.start(route, std::move(request)));
            checkSends();
        }
    }

    void finishLoads()
    {
        for (; m_finishedLoads < m_host.loads.size() && chance(3) != 0; ++m_finishedLoads) {
            constexpr std::array Outcomes {Holding::AdapterOutcome::Ready, Holding::AdapterOutcome::Ready,
                                           Holding::AdapterOutcome::Loading, Holding::AdapterOutcome::Unavailable};
            m_host.finishLoad(m_finishedLoads, Outcomes.at(chance(Outcomes.size())));
            checkSends();
        }
    }

    void answerOne()
    {
        const auto &transfers = m_host.transport.transfers;
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < transfers.size(); ++i) {
            if (transfers[i].isOpen) {
                open.push_back(i);
            }
        }
        if (open.empty()) {
            return;
        }
        const auto transfer = open[chance(static_cast<unsigned>(open.size()))];
        const auto replica = m_sentTo.at(transfer);
        Net::HttpFields fields;
        if (chance(30) == 0) {
            fields.emplace_back("Leaving", "1");
            m_leaving.insert(replica);
        }
        switch (chance(8)) {
        case 0: {
            const auto pause = std::chrono::milliseconds(chance(2) * chance(3000));
            fields.insert(fields.end(), {{"Not-Run", "1"}, {"Pause", std::to_string(pause.count())}});
            auto &end = m_pauseEnd[replica];
            end = pause > 0ms ? std::max(end, m_host.scheduler.now() + pause) : end;
            m_host.answer(transfer, 503, fields);
            break;
        }
        case 1:
            fields.emplace_back("Stream", "yes");
            m_host.answerHead(transfer, 200, fields);
            break;
        case 2:
            m_host.answerHead(transfer, 200, fields);
            m_host.end(transfer, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
            break;
        case 3:
            fields.emplace_back("Not-Run", "1");
            m_host.answer(transfer, 421, fields);
            break;
        default:
            m_host.answer(transfer, 200, fields);
        }
    }

    // Checks the sends since the last call.
    void checkSends()
    {
        const auto &transfers = m_host.transport.transfers;
        for (auto i = m_sentTo.size(); i < transfers.size(); ++i) {
            const Incarnation replica {transfers[i].replica, m_startedAt.at(transfers[i].replica)};
            m_sentTo.push_back(replica);
            CPPUNIT_ASSERT_MESSAGE("sent to a replica that leaves", !m_leaving.contains(replica));
            const auto end = m_pauseEnd.find(replica);
            if (end == m_pauseEnd.end()) {
                continue;
            }
            CPPUNIT_ASSERT_MESSAGE("sent to a paused replica", transfers[i].startedAt >= end->second);
            if (transfers[i].startedAt < end->second + 1s) {
                const auto sent = transfers.begin() + static_cast<std::ptrdiff_t>(i) + 1;
                const auto active = std::count_if(transfers.begin(), sent, [&replica](const auto &transfer) {
                    return transfer.isOpen && transfer.replica == replica.first;
                });
                CPPUNIT_ASSERT_MESSAGE("more requests returned than fit", active <= static_cast<long>(Slots));
            }
        }
    }

    std::mt19937 m_random;
    Tests::ForwardingHarness m_host;
    std::map<std::string, std::uint64_t> m_startedAt; // Start time of each replica's current incarnation.
    std::set<std::string> m_unlisted;
    std::set<Incarnation> m_leaving;
    std::map<Incarnation, Core::TimePoint> m_pauseEnd;
    std::vector<Incarnation> m_sentTo; // By transfer.
    std::size_t m_finishedLoads = 0;
    std::vector<std::shared_ptr<Tests::CallerEnd>> m_callers;
};

}

class RandomAnnouncementsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RandomAnnouncementsTest);
    CPPUNIT_TEST(noRequestReachesReplicaThatWantsNone);
    CPPUNIT_TEST_SUITE_END();

    // Restarts, entries that drop out of the list, loads and broken streams must not undo what a replica has said.
    void noRequestReachesReplicaThatWantsNone()
    {
        std::uint64_t leaving = 0;
        std::uint64_t pauses = 0;
        for (unsigned seed = 1; seed <= 60; ++seed) {
            RandomFleet fleet(seed);
            try {
                fleet.run();
            } catch (CppUnit::Exception &failure) {
                CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + failure.what());
            }
            leaving += fleet.leavingCount();
            pauses += fleet.pauseCount();
        }
        CPPUNIT_ASSERT(leaving > 100 && pauses > 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomAnnouncementsTest);
