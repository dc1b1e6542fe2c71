#include <LibPlacement/ReplicaChooser.h>
#include <LibPlacement/ReplicaHealth.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

using namespace std::chrono_literals;

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(aRareAdapterKeepsItsHome);
    CPPUNIT_TEST(aRestartOfAReplicaMovesNoHome);
    CPPUNIT_TEST(aPopularAdapterSpreadsToItsSecondHome);
    CPPUNIT_TEST(hostsThatKnowTheSameDontAllChooseTheSame);
    CPPUNIT_TEST(aFullReplicaIsPassedOver);
    CPPUNIT_TEST(aReplicaThatFailsRequestsIsUsedLess);
    CPPUNIT_TEST(aReplicaWithoutAHolderIsNotAskedForLoads);
    CPPUNIT_TEST(aCutZoneIsSeenFromTwoReplicas);
    CPPUNIT_TEST(aReplicaThatMendsComesBack);
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

    void aRareAdapterKeepsItsHome()
    {
        std::map<std::size_t, int> homes;
        for (int adapter = 0; adapter < 900; ++adapter) {
            const auto key = "m/a" + std::to_string(adapter);
            const auto home = *m_chooser.choose(key, "request", fleet(9));
            CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose(key, "request", fleet(9)));
            ++homes[home];
        }
        for (const auto &[home, count] : homes) {
            CPPUNIT_ASSERT(count > 60 && count < 140);
        }
    }

    void aRestartOfAReplicaMovesNoHome()
    {
        auto restarted = fleet(9);
        for (auto &candidate : restarted) {
            candidate.replica.value += "-again";
        }
        for (int adapter = 0; adapter < 50; ++adapter) {
            const auto key = "m/a" + std::to_string(adapter);
            CPPUNIT_ASSERT_EQUAL(*m_chooser.choose(key, "request", fleet(9)),
                                 *m_chooser.choose(key, "request", restarted));
        }
    }

    // The most popular adapter brings more prompts than one replica reads.
    void aPopularAdapterSpreadsToItsSecondHome()
    {
        auto candidates = fleet(9);
        const auto home = *m_chooser.choose("m/a1", "request", candidates);
        candidates[home].residency = Placement::Residency::Resident;
        candidates[home].waitingTokens = 2000;
        CPPUNIT_ASSERT_EQUAL(home, *m_chooser.choose("m/a1", "request", candidates));
        candidates[home].waitingTokens = 8000;
        const auto second = *m_chooser.choose("m/a1", "request", candidates);
        CPPUNIT_ASSERT(second != home);
        auto withoutHome = candidates;
        withoutHome.erase(withoutHome.begin() + static_cast<std::ptrdiff_t>(home));
        CPPUNIT_ASSERT_EQUAL(candidates[second].home,
                             withoutHome[*m_chooser.choose("m/a1", "request", withoutHome)].home);
    }

    // A popular adapter on many replicas, and many hosts that learn of each other's requests late.
    void hostsThatKnowTheSameDontAllChooseTheSame()
    {
        constexpr int Requests = 2000;
        auto candidates = fleet(20);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].residency = Placement::Residency::Resident;
            candidates[i].active = static_cast<unsigned>(i % 5);
        }
        std::map<std::size_t, int> counts;
        for (int i = 0; i < Requests; ++i) {
            ++counts[*m_chooser.choose("m/a1", "request" + std::to_string(i), candidates)];
        }
        for (const auto &[index, count] : counts) {
            CPPUNIT_ASSERT(count < Requests / 8);
        }
        CPPUNIT_ASSERT(counts[0] > counts[4]);
    }

    void aFullReplicaIsPassedOver()
    {
        auto candidates = fleet(2);
        candidates[0].residency = candidates[1].residency = Placement::Residency::Resident;
        candidates[0].active = 64;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *m_chooser.choose("m/a1", "request", candidates));
    }

    void aReplicaThatFailsRequestsIsUsedLess()
    {
        Placement::ReplicaHealth health;
        for (int i = 0; i < 10; ++i) {
            health.note({"id0"}, {"a"}, Placement::AttemptOutcome::Failed, m_now);
            health.note({"id1"}, {"a"}, Placement::AttemptOutcome::Served, m_now);
        }
        CPPUNIT_ASSERT(health.penalty({"id0"}, m_now) > health.penalty({"id1"}, m_now) + 500ms);
        auto candidates = fleet(2);
        candidates[0].residency = Placement::Residency::Resident;
        candidates[0].penalty = health.penalty({"id0"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *m_chooser.choose("m/a1", "request", candidates));
    }

    void aReplicaWithoutAHolderIsNotAskedForLoads()
    {
        auto candidates = fleet(3);
        const auto home = *m_chooser.choose("m/a1", "request", candidates);
        candidates[home].residency = Placement::Residency::Unloadable;
        CPPUNIT_ASSERT(*m_chooser.choose("m/a1", "request", candidates) != home);
    }

    void aCutZoneIsSeenFromTwoReplicas()
    {
        Placement::ReplicaHealth health;
        health.note({"b1"}, {"b"}, Placement::AttemptOutcome::Unreachable, m_now);
        CPPUNIT_ASSERT(health.isBlocked({"b1"}, {"b"}, m_now));
        CPPUNIT_ASSERT(!health.isBlocked({"b3"}, {"b"}, m_now));
        health.note({"b2"}, {"b"}, Placement::AttemptOutcome::Unreachable, m_now);
        CPPUNIT_ASSERT(health.isBlocked({"b3"}, {"b"}, m_now));
        CPPUNIT_ASSERT(!health.isBlocked({"a1"}, {"a"}, m_now));
        CPPUNIT_ASSERT(!health.isBlocked({"b3"}, {"b"}, m_now + 3s));
    }

    void aReplicaThatMendsComesBack()
    {
        Placement::ReplicaHealth health;
        for (int i = 0; i < 10; ++i) {
            health.note({"a1"}, {"a"}, Placement::AttemptOutcome::Failed, m_now);
        }
        CPPUNIT_ASSERT(health.penalty({"a1"}, m_now) > 1s);
        CPPUNIT_ASSERT(health.penalty({"a1"}, m_now + 15s) < 300ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
