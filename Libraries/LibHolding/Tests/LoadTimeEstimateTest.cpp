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
    CPPUNIT_TEST_SUITE_END();

    void loadsAtFullSpeedKeepNominalTime()
    {
        Holding::LoadTimeEstimate estimate;
        for (int i = 1; i <= 20; ++i) {
            estimate.recordLoad(265ms, Core::TimePoint(i * 300ms));
        }
        CPPUNIT_ASSERT(estimate.excess(Core::TimePoint(6s)) == Core::Duration::zero());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), estimate.concurrentLoads(Core::TimePoint(6s)));
        CPPUNIT_ASSERT(estimate.confirmPeriod(Core::TimePoint(6s)) < 30ms);
    }

    void slowLoadsReduceConcurrency()
    {
        Holding::LoadTimeEstimate estimate;
        for (int i = 1; i <= 20; ++i) {
            estimate.recordLoad(1200ms, Core::TimePoint(i * 300ms));
        }
        const auto now = Core::TimePoint(6s);
        CPPUNIT_ASSERT(estimate.loadTime(now) > 900ms && estimate.loadTime(now) < 1200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), estimate.concurrentLoads(now));
        CPPUNIT_ASSERT(estimate.confirmPeriod(now) > 40ms);
    }

    void estimateReturnsToNominalTime()
    {
        Holding::LoadTimeEstimate estimate;
        estimate.recordLoad(3s, Core::TimePoint(1s));
        CPPUNIT_ASSERT(estimate.excess(Core::TimePoint(1s)) > 700ms);
        CPPUNIT_ASSERT(estimate.excess(Core::TimePoint(10s)) < 10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), estimate.concurrentLoads(Core::TimePoint(10s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTimeEstimateTest);
