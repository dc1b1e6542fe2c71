#include <LibCore/Rendezvous.h>
#include <LibCore/VirtualScheduler.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

class RendezvousTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RendezvousTest);
    CPPUNIT_TEST(removedCandidateMovesOnlyItsKeys);
    CPPUNIT_TEST(timersRunInOrderOfDueTime);
    CPPUNIT_TEST_SUITE_END();

    void removedCandidateMovesOnlyItsKeys()
    {
        const std::vector<Core::RendezvousCandidate> all {{"a"}, {"b"}, {"c"}, {"d"}};
        const std::vector<Core::RendezvousCandidate> without {{"a"}, {"b"}, {"d"}};
        for (int i = 0; i < 200; ++i) {
            const auto key = "key-" + std::to_string(i);
            const auto before = Core::rankByRendezvous(key, all);
            if (before.front() != "c") {
                CPPUNIT_ASSERT_EQUAL(before.front(), Core::rankByRendezvous(key, without).front());
            }
        }
    }

    void timersRunInOrderOfDueTime()
    {
        Core::VirtualScheduler scheduler;
        std::string order;
        scheduler.runAfter(20ms, [&] {
            order += 'b';
        });
        scheduler.runAfter(10ms, [&] {
            order += 'a';
        });
        const auto cancelled = scheduler.runAfter(15ms, [&] {
            order += 'x';
        });
        scheduler.cancel(cancelled);
        scheduler.advance(30ms);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), order);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);
