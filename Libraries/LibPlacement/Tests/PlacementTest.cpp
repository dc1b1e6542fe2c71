#include <LibPlacement/AdapterDemand.h>
#include <LibPlacement/ReplicaChooser.h>
#include <LibPlacement/ReplicaHealth.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

using namespace std::chrono_literals;

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(rareAdapterIsAlwaysPlacedAtItsHome);
    CPPUNIT_TEST(replicaRestartKeepsHomes);
    CPPUNIT_TEST(overloadedHomeAddsSecondHome);
    CPPUNIT_TEST(rareAdapterStaysAtModeratelyLoadedHome);
    CPPUNIT_TEST(rareAdapterIsNotCopiedWhileCopyIsModeratelyLoaded);
    CPPUNIT_TEST(busyHomeSendsOnToReplicaWithCachedCopy);
    CPPUNIT_TEST(homeWithLongLoadDelayIsSkipped);
    CPPUNIT_TEST(demandLowersThresholdForSecondHome);
    CPPUNIT_TEST(demandDecays);
    CPPUNIT_TEST(requestsSpreadOverEqualReplicas);
    CPPUNIT_TEST(streamsPreferReplicasInOwnZone);
    CPPUNIT_TEST(shortRequestsUseLessLoadedZone);
    CPPUNIT_TEST(replicaWithoutFreeSlotIsSkipped);
    CPPUNIT_TEST(copiesWithStaleLoadsShareRequests);
    CPPUNIT_TEST(nearlyFullCopyGetsNoMoreRequests);
    CPPUNIT_TEST(rareAdapterKeepsItsHomeWhateverTheRequest);
    CPPUNIT_TEST(promptThatWouldInterruptStreamsGoesElsewhere);
    CPPUNIT_TEST(shortPromptIsSentToSlowReplica);
    CPPUNIT_TEST(failingReplicaIsAvoided);
    CPPUNIT_TEST(replicaThatCannotLoadIsSkipped);
    CPPUNIT_TEST(twoUnreachableReplicasBlockTheirZone);
    CPPUNIT_TEST(penaltyDecaysAfterFailuresEnd);
    CPPUNIT_TEST_SUITE_END();

    Placement::ReplicaChooser m_chooser {{.ownZone = {"a"}}};
    Core::TimePoint m_now {1h};

    static std::vector<Placement::Candidate> fleet(std::size_t count)
    {
        std::vector<Placement::Candidate> candidates;
        for (std::size_t i = 0; i < count; ++i) {
            candidates.push_back({.replica = {"id" + std::to_string(i)},
                                  .home = "10.0.0." + std::to_string(i),
                                  .zone = {"a"},
                                  .residency = Placement::Residency::Absent,
                                  .slots = 64});
        }
        return candidates;
    }

    void rareAdapterIsAlwaysPlacedAtItsHome()
    {
        std::map<std::size_t, int> homes;
        for (int adapter = 0; adapter < 900; ++adapter) {
            const auto key = "m/a" + std::to_string(adapter);
            const auto home = *m_chooser.choose({.key = key, .request = "request"}, fleet(9));
            CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = key, .request = "request"}, fleet(9)));
            ++homes[home];
        }
        for (const auto &[home, count] : homes) {
            CPPUNIT_ASSERT(count > 60 && count < 140);
        }
    }

    void replicaRestartKeepsHomes()
    {
        auto restarted = fleet(9);
        for (auto &candidate : restarted) {
            candidate.replica.value += "-again";
        }
        for (int adapter = 0; adapter < 50; ++adapter) {
            const auto key = "m/a" + std::to_string(adapter);
            CPPUNIT_ASSERT_EQUAL(*m_chooser.choose({.key = key, .request = "request"}, fleet(9)),
                                 *m_chooser.choose({.key = key, .request = "request"}, restarted));
        }
    }

    // The most popular adapter receives more prompts than one replica can process.
    void overloadedHomeAddsSecondHome()
    {
        auto candidates = fleet(9);
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        candidates[home].residency = Placement::Residency::Resident;
        candidates[home].waitingTokens = 2000;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        candidates[home].waitingTokens = 8000;
        const auto second = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        CPPUNIT_ASSERT(second != home);
        auto withoutHome = candidates;
        withoutHome.erase(withoutHome.begin() + static_cast<std::ptrdiff_t>(home));
        CPPUNIT_ASSERT_EQUAL(candidates[second].home,
                             withoutHome[*m_chooser.choose({.key = "m/a1", .request = "request"}, withoutHome)].home);
    }

    // With thousands of adapters that are each requested a few times, a home with slightly more load than others must
    // not cause a placement at a replica that has to fetch the adapter from the weight store.
    void rareAdapterStaysAtModeratelyLoadedHome()
    {
        auto candidates = fleet(60);
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        candidates[home].active = 20;
        candidates[home].waitingTokens = 3000;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        candidates[home].waitingTokens = 12000;
        CPPUNIT_ASSERT(home != *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
    }

    // Several prompts arrive at the home of a rare adapter within a quarter of a second and would interrupt its
    // streams. Another replica loads the adapter in a tenth of the time if it has had it before, and the store isn't
    // asked.
    void busyHomeSendsOnToReplicaWithCachedCopy()
    {
        auto candidates = fleet(60);
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        candidates[home].residency = Placement::Residency::Resident;
        const auto cached = (home + 7) % candidates.size();
        candidates[cached].isCached = true;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        candidates[home].waitingTokens = 3000;
        CPPUNIT_ASSERT_EQUAL(cached, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        candidates[cached].isCached = false;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
    }

    void rareAdapterIsNotCopiedWhileCopyIsModeratelyLoaded()
    {
        auto candidates = fleet(60);
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        const auto copy = (home + 7) % candidates.size();
        candidates[copy].residency = Placement::Residency::Resident;
        candidates[copy].waitingTokens = 3000;
        CPPUNIT_ASSERT_EQUAL(copy, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        candidates[copy].isBlocked = true;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
    }

    // In a surge of distinct adapters, the adapter slots of some homes are all in use while others have free ones.
    void homeWithLongLoadDelayIsSkipped()
    {
        auto candidates = fleet(60);
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        candidates[home].loadDelay = 150ms;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        candidates[home].loadDelay = 400ms;
        CPPUNIT_ASSERT(home != *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        candidates[home].residency = Placement::Residency::Resident;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
    }

    // Demand shifts to one adapter, which many callers request at once.
    void demandLowersThresholdForSecondHome()
    {
        auto candidates = fleet(60);
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        candidates[home].residency = Placement::Residency::Resident;
        candidates[home].waitingTokens = 2500;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
        CPPUNIT_ASSERT(home != *m_chooser.choose({.key = "m/a1", .request = "request", .demand = 80}, candidates));
    }

    void demandDecays()
    {
        Placement::AdapterDemand demand;
        for (int i = 0; i < 20; ++i) {
            demand.recordRequest("m/a1", m_now + i * 100ms);
        }
        demand.recordRequest("m/a2", m_now);
        const auto rate = Placement::AdapterDemand::rateOf(demand.count("m/a1", m_now + 2s));
        CPPUNIT_ASSERT(rate > 5 && rate < 10);
        CPPUNIT_ASSERT(demand.count("m/a1", m_now + 20s) < 0.01);
        CPPUNIT_ASSERT(demand.count("m/a2", m_now + 2s) < 0.5);
        demand.prune(m_now + 20s);
        CPPUNIT_ASSERT_EQUAL(0.0, demand.count("m/a1", m_now + 2s));
    }

    // Many hosts place requests for a popular adapter on the same replicas and learn of each other's requests late.
    // Choosing by load alone would send them all to one replica.
    void requestsSpreadOverEqualReplicas()
    {
        constexpr int Requests = 2000;
        auto candidates = fleet(20);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].residency = Placement::Residency::Resident;
            candidates[i].active = static_cast<unsigned>(i % 5);
        }
        std::map<std::size_t, int> counts;
        for (int i = 0; i < Requests; ++i) {
            const auto name = "request" + std::to_string(i);
            ++counts[*m_chooser.choose({.key = "m/a1", .request = name}, candidates)];
        }
        for (const auto &[index, count] : counts) {
            CPPUNIT_ASSERT(count < Requests / 8);
        }
        CPPUNIT_ASSERT(counts[0] > counts[4]);
    }

    // When a zone is partitioned off, the streams that cross its boundary are lost.
    void streamsPreferReplicasInOwnZone()
    {
        constexpr int Requests = 1000;
        for (const std::size_t copies : {6, 24}) {
            auto candidates = fleet(copies);
            for (std::size_t i = 0; i < copies; ++i) {
                candidates[i].residency = Placement::Residency::Resident;
                candidates[i].zone = {std::string(1, static_cast<char>('a' + i % 3))};
            }
            int crossing = 0;
            for (int i = 0; i < Requests; ++i) {
                const auto name = "request" + std::to_string(i);
                crossing += *m_chooser.choose({.key = "m/a1", .request = name}, candidates) % 3 == 0 ? 0 : 1;
            }
            CPPUNIT_ASSERT(crossing < Requests / 10);
            for (std::size_t i = 0; i < copies; i += 3) {
                candidates[i].waitingTokens = 2000;
            }
            CPPUNIT_ASSERT(*m_chooser.choose({.key = "m/a1", .request = "request"}, candidates) % 3 != 0);
        }
    }

    // A service without adapters has a few slots in each zone, and one zone has more callers than the others.
    void shortRequestsUseLessLoadedZone()
    {
        auto candidates = fleet(3);
        candidates[1].zone = {"b"};
        candidates[2].zone = {"c"};
        for (auto &candidate : candidates) {
            candidate.residency = Placement::Residency::Resident;
            candidate.slots = 6;
        }
        candidates[0].active = 4;
        const auto chosen = *m_chooser.choose({.key = "1", .request = "1", .isStream = false}, candidates);
        CPPUNIT_ASSERT(chosen != 0);
    }

    void replicaWithoutFreeSlotIsSkipped()
    {
        auto candidates = fleet(2);
        candidates[0].residency = candidates[1].residency = Placement::Residency::Resident;
        candidates[0].active = 64;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
    }

    // Demand moves to an adapter with few copies. All hosts know the same loads for half a second, and filled up one
    // copy after the other.
    void copiesWithStaleLoadsShareRequests()
    {
        auto candidates = fleet(9);
        for (std::size_t i = 0; i < 3; ++i) {
            candidates[i].residency = Placement::Residency::Resident;
            candidates[i].slots = 16;
            candidates[i].active = 6 + static_cast<unsigned>(i);
        }
        std::map<std::size_t, int> chosen;
        for (int request = 0; request < 300; ++request) {
            ++chosen[*m_chooser.choose({.key = "m/a1", .request = "r" + std::to_string(request)}, candidates)];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), chosen.size());
        CPPUNIT_ASSERT(chosen[0] > chosen[2]);
        CPPUNIT_ASSERT(chosen[0] < 200);
    }

    void nearlyFullCopyGetsNoMoreRequests()
    {
        auto candidates = fleet(9);
        for (std::size_t i = 0; i < 2; ++i) {
            candidates[i].residency = Placement::Residency::Resident;
            candidates[i].slots = 16;
        }
        candidates[0].active = 15;
        candidates[1].active = 8;
        for (int request = 0; request < 300; ++request) {
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(1),
                *m_chooser.choose({.key = "m/a1", .request = "r" + std::to_string(request)}, candidates));
        }
    }

    void rareAdapterKeepsItsHomeWhateverTheRequest()
    {
        auto candidates = fleet(9);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].slots = 16;
            candidates[i].active = static_cast<unsigned>(i);
        }
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "r"}, candidates);
        for (int request = 0; request < 300; ++request) {
            CPPUNIT_ASSERT_EQUAL(
                home, *m_chooser.choose({.key = "m/a1", .request = "r" + std::to_string(request)}, candidates));
        }
    }

    // Three replicas, the first of which has the only copy of the adapter, is slow and runs eight streams.
    static std::vector<Placement::Candidate> slowReplicaWithCopy(std::uint64_t waitingTokens)
    {
        auto candidates = fleet(3);
        for (auto &candidate : candidates) {
            candidate.active = 8;
            candidate.eventTime = 40ms;
        }
        candidates[0].residency = Placement::Residency::Resident;
        candidates[0].speed = 0.6;
        candidates[0].eventTime = 67ms;
        candidates[0].waitingTokens = waitingTokens;
        return candidates;
    }

    // Two waiting prompts and a third one hold the streams of a slow replica up for 67 + 275 ms, so that all eight are
    // late where 300 ms are allowed. A load elsewhere makes one caller wait.
    void promptThatWouldInterruptStreamsGoesElsewhere()
    {
        const auto candidates = slowReplicaWithCopy(2200);
        Placement::PlacementRequest placement {.key = "m/a", .request = "request", .promptTokens = 1100};
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *m_chooser.choose(placement, candidates));
        placement.pauseLimit = 300ms;
        CPPUNIT_ASSERT(*m_chooser.choose(placement, candidates) != 0);
    }

    // The pause stays far below the limit, so that the copy of the adapter is used.
    void shortPromptIsSentToSlowReplica()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(0),
            *m_chooser.choose({.key = "m/a", .request = "request", .promptTokens = 500, .pauseLimit = 300ms},
                              slowReplicaWithCopy(0)));
    }

    void failingReplicaIsAvoided()
    {
        Placement::ReplicaHealth health;
        for (int i = 0; i < 10; ++i) {
            health.recordOutcome({"id0"}, {"a"}, Placement::AttemptOutcome::Failed, m_now);
            health.recordOutcome({"id1"}, {"a"}, Placement::AttemptOutcome::Served, m_now);
        }
        CPPUNIT_ASSERT(health.penalty({"id0"}, m_now) > health.penalty({"id1"}, m_now) + 500ms);
        auto candidates = fleet(2);
        candidates[0].residency = Placement::Residency::Resident;
        candidates[0].penalty = health.penalty({"id0"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates));
    }

    void replicaThatCannotLoadIsSkipped()
    {
        auto candidates = fleet(3);
        const auto home = *m_chooser.choose({.key = "m/a1", .request = "request"}, candidates);
        candidates[home].residency = Placement::Residency::Unloadable;
        CPPUNIT_ASSERT(*m_chooser.choose({.key = "m/a1", .request = "request"}, candidates) != home);
    }

    void twoUnreachableReplicasBlockTheirZone()
    {
        Placement::ReplicaHealth health;
        health.recordOutcome({"b1"}, {"b"}, Placement::AttemptOutcome::Unreachable, m_now);
        CPPUNIT_ASSERT(health.isBlocked({"b1"}, {"b"}, m_now));
        CPPUNIT_ASSERT(!health.isBlocked({"b3"}, {"b"}, m_now));
        health.recordOutcome({"b2"}, {"b"}, Placement::AttemptOutcome::Unreachable, m_now);
        CPPUNIT_ASSERT(health.isBlocked({"b3"}, {"b"}, m_now));
        CPPUNIT_ASSERT(!health.isBlocked({"a1"}, {"a"}, m_now));
        CPPUNIT_ASSERT(!health.isBlocked({"b3"}, {"b"}, m_now + 3s));
    }

    void penaltyDecaysAfterFailuresEnd()
    {
        Placement::ReplicaHealth health;
        for (int i = 0; i < 10; ++i) {
            health.recordOutcome({"a1"}, {"a"}, Placement::AttemptOutcome::Failed, m_now);
        }
        CPPUNIT_ASSERT(health.penalty({"a1"}, m_now) > 1s);
        CPPUNIT_ASSERT(health.penalty({"a1"}, m_now + 15s) < 300ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
