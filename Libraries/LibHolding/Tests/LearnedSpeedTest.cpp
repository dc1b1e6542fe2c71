#include <LibCore/VirtualScheduler.h>
#include <LibHolding/NoticeSeries.h>
#include <LibHolding/ReplicaController.h>
#include <LibHolding/Tests/FakeReplica.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

// The messages of the version before learned speeds.
struct FormerReplicaUse {
    Core::TargetId replica;
    std::uint32_t active = 0;
    std::uint64_t waitingTokens = 0;
    std::vector<std::string> adapters;
    std::uint32_t recentlySent = 0;
    bool isLimited = false;

    MSGPACK_DEFINE(replica, active, waitingTokens, adapters, recentlySent, isLimited)
};

struct FormerReplicaLoad {
    Core::TargetId replica;
    std::uint32_t active = 0;
    std::uint64_t waitingTokens = 0;
    std::uint32_t loadDelayMilliseconds = 0;
    std::uint32_t recentlySent = 0;
    std::uint32_t limitedSenders = 0;

    MSGPACK_DEFINE(replica, active, waitingTokens, loadDelayMilliseconds, recentlySent, limitedSenders)
};

template<typename To, typename From> To passed(const From &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return msgpack::unpack(buffer.data(), buffer.size()).get().template as<To>();
}

}

// What the holder of a replica learns of its speed from the hosts, and passes on.
class LearnedSpeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LearnedSpeedTest);
    CPPUNIT_TEST(holderCombinesReportsOfHosts);
    CPPUNIT_TEST(restartedReplicaIsLearnedAnew);
    CPPUNIT_TEST(stallIsWorthANotice);
    CPPUNIT_TEST(hostsOfTheFormerVersionAreUnderstood);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_scheduler;
    Holding::FakeReplica m_fake {m_scheduler};
    Fleet::ReleaseTable m_releases;
    Fleet::Replica m_replica {.id = {"r"}, .service = "s", .address = "127.0.0.1:1", .startedAt = 1};
    Routes::EngineSettings m_engine {.slots = 24, .adapterSlots = 3};
    Holding::ReplicaController m_controller {m_scheduler,
                                             m_fake,
                                             {.self = {"h"}},
                                             [](const Core::TargetId &) {
                                                 return std::optional<std::uint64_t>(7);
                                             },
                                             m_releases,
                                             m_replica,
                                             m_engine};

    void report(const std::string &host, std::uint32_t eventMicroseconds, std::uint32_t samples)
    {
        m_controller.recordUse({host},
                               {.replica = {"r"},
                                .active = 1,
                                .usedTokens = 1800,
                                .eventMicroseconds = eventMicroseconds,
                                .eventSamples = samples,
                                .prefillMicroseconds = eventMicroseconds * 7,
                                .prefillSamples = samples});
    }

    // A host that knows only its own requests sees too few responses of one replica to tell its speed in time.
    void holderCombinesReportsOfHosts()
    {
        for (int round = 0; round < 10; ++round) {
            for (int host = 0; host < 40; ++host) {
                report("h" + std::to_string(host), host % 2 == 0 ? 10000 : 10400, 1);
            }
            m_scheduler.advance(250ms);
        }
        const auto load = m_controller.load();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10200, load.eventMicroseconds, 250);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(71400, load.prefillMicroseconds, 1750);
        CPPUNIT_ASSERT(load.eventSamples > 200 && load.eventSamples < 400);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40 * 1800), load.usedTokens);
        m_scheduler.advance(60s);
        CPPUNIT_ASSERT_EQUAL(0U, m_controller.load().eventSamples);
    }

    // The new incarnation may run on another server. Its former speed says nothing of it.
    void restartedReplicaIsLearnedAnew()
    {
        report("h1", 17000, 50);
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT_EQUAL(17000U, m_controller.load().eventMicroseconds);
        m_replica.startedAt = 2;
        m_controller.update(m_replica, m_engine);
        CPPUNIT_ASSERT_EQUAL(0U, m_controller.load().eventSamples);
        report("h1", 7000, 5);
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT_EQUAL(7000U, m_controller.load().eventMicroseconds);
    }

    // Most of a stall would be over before the next notice without news. Noise must not cause notices all the time.
    void stallIsWorthANotice()
    {
        Holding::NoticeSeries series(1);
        series.advance({.load = {.replica = {"r"}, .eventMicroseconds = 7000, .eventSamples = 100}});
        series.advance({.load = {.replica = {"r"}, .eventMicroseconds = 7300, .eventSamples = 104}});
        CPPUNIT_ASSERT(!series.isChanged());
        series.advance({.load = {.replica = {"r"}, .eventMicroseconds = 16000, .eventSamples = 108}});
        CPPUNIT_ASSERT(series.isChanged());
    }

    // During an upgrade, hosts of both versions exchange notices.
    void hostsOfTheFormerVersionAreUnderstood()
    {
        const auto use = passed<Holding::ReplicaUse>(
            FormerReplicaUse {.replica = {"r"}, .active = 3, .waitingTokens = 9, .recentlySent = 2, .isLimited = true});
        CPPUNIT_ASSERT_EQUAL(3U, use.active);
        CPPUNIT_ASSERT(use.isLimited);
        CPPUNIT_ASSERT_EQUAL(0U, use.eventSamples);
        const auto load = passed<Holding::ReplicaLoad>(FormerReplicaLoad {.replica = {"r"}, .limitedSenders = 4});
        CPPUNIT_ASSERT_EQUAL(4U, load.limitedSenders);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), load.usedTokens);
        const auto formerUse = passed<FormerReplicaUse>(Holding::ReplicaUse {
            .replica = {"r"}, .active = 5, .isLimited = true, .usedTokens = 100, .eventSamples = 8});
        CPPUNIT_ASSERT_EQUAL(5U, formerUse.active);
        CPPUNIT_ASSERT(formerUse.isLimited);
        const auto formerLoad = passed<FormerReplicaLoad>(
            Holding::ReplicaLoad {.replica = {"r"}, .limitedSenders = 6, .usedTokens = 100, .prefillSamples = 8});
        CPPUNIT_ASSERT_EQUAL(6U, formerLoad.limitedSenders);
        const auto complete = passed<Holding::ReplicaLoad>(Holding::ReplicaLoad {
            .replica = {"r"}, .usedTokens = 1, .eventMicroseconds = 2, .eventSamples = 3, .prefillSamples = 4});
        CPPUNIT_ASSERT(complete.usedTokens == 1 && complete.eventMicroseconds == 2 && complete.eventSamples == 3
                       && complete.prefillSamples == 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearnedSpeedTest);
