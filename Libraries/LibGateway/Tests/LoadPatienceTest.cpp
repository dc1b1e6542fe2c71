#include <LibGateway/LoadPatience.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// When many replicas restart without adapters, the weight store serves more loads than it can at full speed, and each
// takes seconds.
class LoadPatienceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadPatienceTest);
    CPPUNIT_TEST(slowLoadIsAwaited);
    CPPUNIT_TEST(requestIsRefusedBeforeItsCallerLeaves);
    CPPUNIT_TEST(shortDeadlineLeavesTimeToReturn);
    CPPUNIT_TEST(begunResponseIsNotGivenUp);
    CPPUNIT_TEST_SUITE_END();

    void slowLoadIsAwaited()
    {
        CPPUNIT_ASSERT(Gateway::mayAwaitLoad({.objective = 800ms, .waited = 1000ms, .remaining = 11s, .requests = 1}));
        CPPUNIT_ASSERT(
            !Gateway::mayRequestLoad({.objective = 800ms, .waited = 1300ms, .remaining = 11s, .requests = 1}));
    }

    void requestIsRefusedBeforeItsCallerLeaves()
    {
        for (const auto objective : {600ms, 800ms, 1000ms}) {
            const auto patience = objective * 4;
            CPPUNIT_ASSERT(
                !Gateway::mayAwaitLoad({.objective = objective, .waited = patience * 2 / 3, .remaining = 10s}));
        }
    }

    void shortDeadlineLeavesTimeToReturn()
    {
        CPPUNIT_ASSERT(!Gateway::mayAwaitLoad({.objective = 800ms, .waited = 1600ms, .remaining = 1400ms}));
    }

    void begunResponseIsNotGivenUp()
    {
        const Gateway::LoadWait wait {
            .objective = 1s, .waited = 3s, .remaining = 12s, .requests = 4, .isContinued = true};
        CPPUNIT_ASSERT(Gateway::mayRequestLoad(wait));
        CPPUNIT_ASSERT(Gateway::mayAwaitLoad(wait));
        CPPUNIT_ASSERT(!Gateway::mayAwaitLoad({.waited = 15s, .remaining = 1ms, .isContinued = true}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPatienceTest);
