#include <LibPlacement/Tests/ReturnPaceStage.h>
#include <LibPlacement/UsualResponseTime.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;
using namespace Tests;

class ReturnPaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReturnPaceTest);
    CPPUNIT_TEST(replicaAtFullSpeedGetsItsUsualLoad);
    CPPUNIT_TEST(replicaAtAThirdOfItsSpeedGetsLittle);
    CPPUNIT_TEST(replicaThatCrashesAgainStartsAtTheLowest);
    CPPUNIT_TEST(hostsThatTryAtOnceDoNotFloodTheReplica);
    CPPUNIT_TEST(slowReplicaThatGetsFasterGetsItsUsualLoad);
    CPPUNIT_TEST(limitIsLiftedWithoutTraffic);
    CPPUNIT_TEST(limitOfAReplicaThatStaysSlowIsLiftedInTheEnd);
    CPPUNIT_TEST(limitEndsWhenAllSlotsServeAsUsual);
    CPPUNIT_TEST(lateResponsesToEarlierRequestsLowerTheLimitOnce);
    CPPUNIT_TEST(singleLateResponseElsewhereLeavesTheLimit);
    CPPUNIT_TEST(reappearedReplicaThatServesOthersIsNotLimited);
    CPPUNIT_TEST(longPromptsHaveTheirOwnUsualTime);
    CPPUNIT_TEST(usualTimeIsUnknownAtFirst);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Placement::LimitSharing Alone {};

    // A replica that could serve was left nearly idle, as each host learned from the responses to its own requests.
    void replicaAtFullSpeedGetsItsUsualLoad()
    {
        for (const std::size_t hosts : {1U, 6U, 60U}) {
            for (unsigned seed = 1; seed <= 10; ++seed) {
                Stage stage({.hosts = hosts, .seed = seed});
                stage.play(9s);
                CPPUNIT_ASSERT(stage.meanActive(4s, 9s) >= 6);
                CPPUNIT_ASSERT(stage.mostActive() <= 2 * Slots);
            }
        }
    }

    // Without news, such as at plain services, each host keeps to its part.
    void hostsWithoutNewsStayBelow(unsigned most, const Scene &scene)
    {
        Stage stage(scene);
        stage.play(9s);
        CPPUNIT_ASSERT(stage.mostActive() <= most);
    }

    // A replica that came back with a fault took as many requests as its healthy peers, and answered them late.
    void replicaAtAThirdOfItsSpeedGetsLittle()
    {
        const auto third = [](auto) {
            return 3.0;
        };
        for (const std::size_t hosts : {6U, 60U}) {
            for (unsigned seed = 1; seed <= 10; ++seed) {
                Stage stage({.hosts = hosts, .perSecond = 40, .seed = seed, .slowness = third});
                stage.play(30s);
                CPPUNIT_ASSERT(stage.mostActive() <= Slots);
                CPPUNIT_ASSERT(stage.mostActive(8s) <= Slots / 2);
                CPPUNIT_ASSERT(stage.meanActive(8s, 30s) <= 3);
                hostsWithoutNewsStayBelow(Slots, {.hosts = hosts, .lag = {}, .seed = seed, .slowness = third});
            }
        }
    }

    // A replica that crashed by its load crashed by the same load each time that it came back.
    void replicaThatCrashesAgainStartsAtTheLowest()
    {
        Pace pace;
        pace.begin(Pace::Cause::Started, Slots, Start);
        CPPUNIT_ASSERT_EQUAL(4.0, pace.limit());
        pace.begin(Pace::Cause::CrashedAgain, Slots, Start + 1s);
        CPPUNIT_ASSERT_EQUAL(1.0, pace.limit());
        CPPUNIT_ASSERT(pace.hasRoom({.slots = Slots, .others = 0}, Alone, Start + 1s));
        CPPUNIT_ASSERT(!pace.hasRoom({.slots = Slots, .others = 1}, Alone, Start + 1s));
        for (unsigned seed = 1; seed <= 10; ++seed) {
            Stage stage({.perSecond = 40, .cause = Pace::Cause::CrashedAgain, .seed = seed});
            stage.play(500ms);
            CPPUNIT_ASSERT(stage.mostActive() <= 3);
        }
    }

    // Each host took the free slots for its own. The sum was several times what the replica can run.
    void hostsThatTryAtOnceDoNotFloodTheReplica()
    {
        for (const auto lag : {std::optional<Core::Duration>(200ms), std::optional<Core::Duration>()}) {
            for (const Core::Duration idle : {0ms, 500ms, 3000ms}) {
                Stage stage({.hosts = 63, .perSecond = 0, .lag = lag});
                stage.play(idle + Step);
                stage.offerAtAll();
                CPPUNIT_ASSERT(stage.active() <= Slots / 2);
                stage.play(100ms);
                stage.offerAtAll();
                CPPUNIT_ASSERT(stage.active() <= Slots);
            }
        }
    }

    // A replica whose caches were empty at first kept the low limit that it had got by then.
    void slowReplicaThatGetsFasterGetsItsUsualLoad()
    {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            Stage stage({.seed = seed, .slowness = [](auto elapsed) {
                             return elapsed < 4s ? 3.0 : 1.0;
                         }});
            stage.play(24s);
            CPPUNIT_ASSERT(stage.meanActive(2s, 4s) <= Slots / 2);
            CPPUNIT_ASSERT(stage.meanActive(18s, 24s) >= 7);
        }
    }

    // A service that is rarely used would have kept the limit for ever.
    void limitIsLiftedWithoutTraffic()
    {
        Pace pace;
        pace.begin(Pace::Cause::CrashedAgain, Slots, Start);
        CPPUNIT_ASSERT(pace.isActive(Start + 9s));
        CPPUNIT_ASSERT(!pace.isActive(Start + 10s));
        CPPUNIT_ASSERT(pace.hasRoom({.slots = Slots, .others = 100}, Alone, Start + 10s));
    }

    // An engine that is slower than its peers by its kind is no fault that a limit mends.
    void limitOfAReplicaThatStaysSlowIsLiftedInTheEnd()
    {
        Pace pace;
        pace.begin(Pace::Cause::Started, Slots, Start);
        for (auto now = Start; now < Start + 119s; now += 1s) {
            pace.recordResponse(Pace::Response::Late, {.slots = Slots, .own = 1, .others = 0}, Alone, now, now);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, pace.limit());
        CPPUNIT_ASSERT(pace.isActive(Start + 119s));
        CPPUNIT_ASSERT(!pace.isActive(Start + 120s));
    }

    // A limit at the number of slots would hold off the requests that a full replica queues.
    void limitEndsWhenAllSlotsServeAsUsual()
    {
        Pace pace;
        pace.begin(Pace::Cause::Started, Slots, Start);
        pace.recordResponse(Pace::Response::Usual, {.slots = Slots, .own = 1, .others = Slots - 2}, Alone, Start,
                            Start);
        CPPUNIT_ASSERT(pace.isActive(Start));
        pace.recordResponse(Pace::Response::Usual, {.slots = Slots, .own = 1, .others = Slots - 1}, Alone, Start,
                            Start);
        CPPUNIT_ASSERT(!pace.isActive(Start));
    }

    // One overload showed in each of the responses in progress, and brought the limit down to the lowest.
    void lateResponsesToEarlierRequestsLowerTheLimitOnce()
    {
        const Placement::ReturnLoad load {.slots = Slots, .own = 4, .others = 0};
        Pace pace;
        pace.begin(Pace::Cause::Started, Slots, Start);
        for (int number = 0; number < 4; ++number) {
            pace.recordResponse(Pace::Response::Late, load, Alone, Start, Start + 300ms);
        }
        CPPUNIT_ASSERT_EQUAL(2.0, pace.limit());
        pace.recordResponse(Pace::Response::Failed, load, Alone, Start + 300ms, Start + 600ms);
        CPPUNIT_ASSERT_EQUAL(1.0, pace.limit());
    }

    // Among many responses at 60 hosts one is always late, which kept the limit down.
    void singleLateResponseElsewhereLeavesTheLimit()
    {
        for (const unsigned late : {1U, 5U}) {
            Pace pace;
            pace.begin(Pace::Cause::Started, Slots, Start);
            pace.recordLoad({.slots = Slots, .others = 4, .othersSigns = {.usual = 10, .late = late}}, Start + 100ms);
            CPPUNIT_ASSERT_EQUAL(late == 1 ? 5.0 : 2.0, pace.limit());
        }
    }

    // A cut between this host and the replica looks like an outage of the replica.
    void reappearedReplicaThatServesOthersIsNotLimited()
    {
        for (const auto cause : {Pace::Cause::Reappeared, Pace::Cause::Started}) {
            Pace pace;
            pace.begin(cause, Slots, Start);
            for (auto now = Start; now < Start + 3s; now += 200ms) {
                pace.recordLoad({.slots = Slots, .others = Slots / 2}, now);
            }
            CPPUNIT_ASSERT_EQUAL(cause == Pace::Cause::Started, pace.isActive(Start + 3s));
        }
    }

    // A response whose prompt takes long to process counted as late.
    void longPromptsHaveTheirOwnUsualTime()
    {
        Placement::UsualResponseTime usual;
        for (int number = 0; number < 20; ++number) {
            usual.record(500, 30ms);
            usual.record(4400, 250ms);
        }
        CPPUNIT_ASSERT(!usual.isLate(4400, 400ms).value());
        CPPUNIT_ASSERT(usual.isLate(500, 400ms).value());
        CPPUNIT_ASSERT(usual.isLate(4400, 750ms).value());
    }

    void usualTimeIsUnknownAtFirst()
    {
        Placement::UsualResponseTime usual;
        CPPUNIT_ASSERT(!usual.isLate(0, 1h).has_value());
        for (int number = 0; number < 10; ++number) {
            usual.record(0, 2ms);
        }
        // A few milliseconds more are no sign of a slow replica.
        CPPUNIT_ASSERT(!usual.isLate(0, 15ms).value());
        CPPUNIT_ASSERT(usual.isLate(0, 30ms).value());
        CPPUNIT_ASSERT(!usual.isLate(500, 30ms).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnPaceTest);
