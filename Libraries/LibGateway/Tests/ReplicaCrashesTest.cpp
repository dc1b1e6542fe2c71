#include <LibCore/VirtualScheduler.h>
#include <LibGateway/Tests/LoneQuarantine.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

class ReplicaCrashesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaCrashesTest);
    CPPUNIT_TEST(promptsOfCrashedReplicaAreSuspected);
    CPPUNIT_TEST(truncatedResponseIsNoCrash);
    CPPUNIT_TEST(incarnationCountsOnce);
    CPPUNIT_TEST_SUITE_END();

    using Parts = std::vector<std::uint64_t>;
    using Role = Gateway::ReplicaCrashes::Role;

    Core::VirtualScheduler m_scheduler;
    Gateway::Testing::LoneQuarantine m_lone {m_scheduler};
    Routing::Quarantine &m_quarantine = m_lone.quarantine;
    Gateway::ReplicaCrashes &m_crashes = m_lone.crashes;

    static Fleet::Replica replica(int number, std::uint64_t startedAt = 1)
    {
        return {.id = {"replica-" + std::to_string(number)}, .startedAt = startedAt};
    }

    // Crashes weren't connected with the prompts that caused them.
    void promptsOfCrashedReplicaAreSuspected()
    {
        for (int number = 0; number < 2; ++number) {
            m_crashes.recordBreak(replica(number), Role::Suspect, Parts {1, 2});
            m_crashes.recordBreak(replica(number), Role::Bystander, Parts {1});
            m_crashes.recordActivity(replica(number)); // It was received before the crash.
            m_scheduler.advance(1s);
        }
        CPPUNIT_ASSERT(m_quarantine.suspicionOf(Parts {1, 2, 3}) == Routing::Suspicion::Refused);
    }

    // Requests whose responses a faulty replica truncated were taken for the cause of crashes.
    void truncatedResponseIsNoCrash()
    {
        m_crashes.recordBreak(replica(1), Role::Suspect, Parts {1});
        m_scheduler.advance(50ms);
        m_crashes.recordActivity(replica(1));
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT(m_quarantine.suspicionOf(Parts {1}) == Routing::Suspicion::None);
    }

    // A replica that keeps breaking off responses counted as many crashes.
    void incarnationCountsOnce()
    {
        for (int i = 0; i < 5; ++i) {
            m_crashes.recordBreak(replica(1), Role::Suspect, Parts {1});
            m_scheduler.advance(1s);
        }
        CPPUNIT_ASSERT(m_quarantine.suspicionOf(Parts {1}) == Routing::Suspicion::Suspect);
        m_crashes.recordBreak(replica(1, 2), Role::Suspect, Parts {1});
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT(m_quarantine.suspicionOf(Parts {1}) == Routing::Suspicion::Refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaCrashesTest);
