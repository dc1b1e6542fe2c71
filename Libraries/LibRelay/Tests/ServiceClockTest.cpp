#include <LibRelay/ServiceClock.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace std::chrono_literals;

class ServiceClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceClockTest);
    CPPUNIT_TEST(unknownWithoutACall);
    CPPUNIT_TEST(relayedTimeIsNeverTooLate);
    CPPUNIT_TEST_SUITE_END();

    void unknownWithoutACall()
    {
        CPPUNIT_ASSERT(!Relay::ServiceClock().toLocal(5s).has_value());
    }

    // Guards against a host that takes an old notice for new, because it was suspended while the notice was in its
    // buffer, or because calls to the service take long. Clocks of hosts and service have different zeros.
    void relayedTimeIsNeverTooLate()
    {
        const bool hasPassed = rc::check([] {
            const auto milliseconds = [](int most) {
                return std::chrono::milliseconds(*rc::gen::inRange(0, most));
            };
            const auto followerOffset = milliseconds(100000);
            const auto serviceOffset = milliseconds(100000);
            Relay::ServiceClock follower;
            auto now = Core::TimePoint(1h); // The true time; the reader's clock shows it.
            const auto serviceTime = [&](Core::TimePoint at) {
                return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()) + serviceOffset;
            };
            for (int call = *rc::gen::inRange(1, 5); call > 0; --call) {
                const auto sentAt = now;
                now += milliseconds(3000);
                const auto stated = serviceTime(now);
                now += milliseconds(3000);
                follower.record(sentAt + followerOffset, stated);
            }
            // The reader's call, and its notice, which arrives at any later time.
            const auto readerSentAt = now;
            now += milliseconds(3000);
            const auto stated = serviceTime(now);
            now += milliseconds(3000);
            const auto proven = follower.toLocal(Relay::ServiceClock::toService(readerSentAt, now, stated));
            RC_ASSERT(proven.has_value());
            RC_ASSERT(*proven <= readerSentAt + followerOffset);
        });
        CPPUNIT_ASSERT(hasPassed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceClockTest);
