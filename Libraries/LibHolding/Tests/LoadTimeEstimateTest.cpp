#include <LibHolding/LoadTimeEstimate.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// Loads at a weight store that serves more replicas than it can at full speed.
class LoadTimeEstimateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTimeEstimateTest);
    CPPUNIT_TEST(loadsAtFullSpeedKeepNominalTime);
    CPPUNIT_TEST(slowLoadsReduceConcurrency);
    CPPUNIT_TEST(estimateReturnsToNominalTime);
    CPPUNIT_TEST(firstCheckFollowsTheLoadTimeOfTheStore);
    CPPUNIT_TEST(firstCheckIsEarlyAgainOnceTheStoreIsFast);
    CPPUNIT_TEST_SUITE_END();

    // Checks a load as the holder does: first at the learned time, then in each confirm period. Returns the checks.
    static int load(Holding::LoadTimeEstimate &estimate, Core::Duration loadTime, Core::TimePoint now)
    {
        auto checkedAt = estimate.firstCheckTime();
        int checks = 1;
        for (; checkedAt < loadTime; ++checks) {
            checkedAt += estimate.confirmPeriod(now);
        }
        estimate.recordLoad(checkedAt, checks == 1 ? Holding::LoadCheck::First : Holding::LoadCheck::Later, now);
        return checks;
    }

    void loadsAtFullSpeedKeepNominalTime()
    {
        Holding::LoadTimeEstimate estimate;
        for (int i = 1; i <= 20; ++i) {
            estimate.recordLoad(265ms, Holding::LoadCheck::Later, Core::TimePoint(i * 300ms));
        }
        CPPUNIT_ASSERT(estimate.excess(Core::TimePoint(6s)) == Core::Duration::zero());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), estimate.concurrentLoads(Core::TimePoint(6s)));
        CPPUNIT_ASSERT(estimate.confirmPeriod(Core::TimePoint(6s)) < 30ms);
    }

    void slowLoadsReduceConcurrency()
    {
        Holding::LoadTimeEstimate estimate;
        for (int i = 1; i <= 20; ++i) {
            estimate.recordLoad(1200ms, Holding::LoadCheck::Later, Core::TimePoint(i * 300ms));
        }
        const auto now = Core::TimePoint(6s);
        CPPUNIT_ASSERT(estimate.loadTime(now) > 900ms && estimate.loadTime(now) < 1200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), estimate.concurrentLoads(now));
        CPPUNIT_ASSERT(estimate.confirmPeriod(now) > 40ms);
    }

    void estimateReturnsToNominalTime()
    {
        Holding::LoadTimeEstimate estimate;
        estimate.recordLoad(3s, Holding::LoadCheck::Later, Core::TimePoint(1s));
        CPPUNIT_ASSERT(estimate.excess(Core::TimePoint(1s)) > 700ms);
        CPPUNIT_ASSERT(estimate.excess(Core::TimePoint(10s)) < 10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), estimate.concurrentLoads(Core::TimePoint(10s)));
    }

    // Each check is an order to the replica. Checks from a fixed time on made three for each load of a store that takes
    // 288 ms, and thirteen for one that takes 700 ms. Half as many must do.
    void firstCheckFollowsTheLoadTimeOfTheStore()
    {
        for (const auto &[loadTime, most] : {std::pair(288ms, 60), std::pair(700ms, 260)}) {
            Holding::LoadTimeEstimate estimate;
            int checks = 0;
            for (int i = 1; i <= 44; ++i) {
                const auto ofLoad = load(estimate, loadTime, Core::TimePoint(i * 300ms));
                checks += i > 4 ? ofLoad : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(checks), checks <= most);
        }
    }

    // A load that has ended must not go unnoticed because earlier ones took long.
    void firstCheckIsEarlyAgainOnceTheStoreIsFast()
    {
        Holding::LoadTimeEstimate estimate;
        auto now = Core::TimePoint(1s);
        for (int i = 0; i < 20; ++i, now += 300ms) {
            load(estimate, 1000ms, now);
        }
        for (int i = 0; i < 5; ++i, now += 300ms) {
            load(estimate, 288ms, now);
        }
        CPPUNIT_ASSERT(estimate.firstCheckTime() < 330ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTimeEstimateTest);
