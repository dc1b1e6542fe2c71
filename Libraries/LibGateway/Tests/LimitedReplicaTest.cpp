#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// Replicas in need that say how many requests per second they take.
class LimitedReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedReplicaTest);
    CPPUNIT_TEST(requestsBeyondTheLimitGoElsewhere);
    CPPUNIT_TEST(requestIsRefusedAtOnceIfAllAreAtTheirLimits);
    CPPUNIT_TEST(requestsOfOtherHostsCount);
    CPPUNIT_TEST(limitEndsWhenResponsesNameNone);
    CPPUNIT_TEST(newIncarnationIsNotLimited);
    CPPUNIT_TEST(continuedStreamCounts);
    CPPUNIT_TEST(requestsThatWaitForLoadKeepTheLimit);
    CPPUNIT_TEST(limitAndPauseHoldTogether);
    CPPUNIT_TEST(useIsReportedWhileThereIsALimit);
    CPPUNIT_TEST_SUITE_END();

    using Harness = Tests::ForwardingHarness;

    // Requests that a replica with a limit of one per second gets in a window beside the one that was told the limit.
    static constexpr std::size_t AtLimit = 7;

    Harness m_host;

    static Routes::Route unsafe()
    {
        return {.kind = Routes::RequestKind::Unsafe, .timeout = 5s, .objective = 300ms, .maxAttempts = 1};
    }

    static Routes::Route stream()
    {
        return {.kind = Routes::RequestKind::Stream,
                .isResumable = true,
                .timeout = 15s,
                .objective = 1s,
                .maxAttempts = 3};
    }

    // Sends a request to the only listed replica, whose response names the limit.
    void limitOnly(const std::string &replica, const std::string &perSecond)
    {
        m_host.list({Harness::replica(replica)});
        const auto transfer = m_host.transport.transfers.size();
        m_host.start(unsafe(), {.attemptId = "first at " + replica});
        m_host.answer(transfer, 200, {{"Limit", perSecond}});
    }

    // Sends requests that are answered at once with the limit, and returns how many of them were sent to the replica.
    std::size_t countSendsTo(const std::string &replica, int count, const std::string &perSecond)
    {
        const auto before = m_host.sendsTo(replica);
        for (int number = 0; number < count; ++number) {
            const auto sent = m_host.transport.transfers.size();
            m_host.start(unsafe(), {.attemptId = "probe" + std::to_string(number)});
            if (m_host.transport.transfers.size() > sent) {
                const bool isLimited = m_host.transport.transfers[sent].replica == replica && !perSecond.empty();
                m_host.answer(sent, 200, isLimited ? Net::HttpFields {{"Limit", perSecond}} : Net::HttpFields {});
            }
        }
        return m_host.sendsTo(replica) - before;
    }

    // A replica that had named a limit got as many requests as before.
    void requestsBeyondTheLimitGoElsewhere()
    {
        limitOnly("r1", "2.5");
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        CPPUNIT_ASSERT(countSendsTo("r1", 100, "2.5") <= 15);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), m_host.sendsTo("r1") - 1 + m_host.sendsTo("r2"));
        m_host.scheduler.advance(4s);
        CPPUNIT_ASSERT(countSendsTo("r1", 100, "2.5") > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_host.metrics.countOf("currantbay_replica_limits_total"));
    }

    void requestIsRefusedAtOnceIfAllAreAtTheirLimits()
    {
        limitOnly("r1", "1");
        CPPUNIT_ASSERT_EQUAL(AtLimit, countSendsTo("r1", 20, "1"));
        const auto caller = m_host.start(unsafe(), {.attemptId = "one more"});
        CPPUNIT_ASSERT_EQUAL(503U, caller->status);
        CPPUNIT_ASSERT(caller->body.find("did not run") != std::string::npos);
        CPPUNIT_ASSERT(caller->retryAfter() >= 0.45 && caller->retryAfter() <= 1);
    }

    void requestsOfOtherHostsCount()
    {
        limitOnly("r1", "2.5");
        std::size_t sent = 0;
        for (int turn = 0; turn < 10; ++turn) {
            m_host.fleet.applyExchangedLoad({.replica = {"r1"}, .recentlySent = 7, .limitedSenders = 1},
                                            m_host.scheduler.now());
            sent += countSendsTo("r1", 20, "2.5");
            m_host.scheduler.advance(200ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), sent);
    }

    // The limit must not outlive the need, and a limit that can't be read changes nothing.
    void limitEndsWhenResponsesNameNone()
    {
        limitOnly("r1", "1");
        CPPUNIT_ASSERT_EQUAL(AtLimit, countSendsTo("r1", 10, "unreadable"));
        m_host.scheduler.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), countSendsTo("r1", 10, ""));
    }

    void newIncarnationIsNotLimited()
    {
        limitOnly("r1", "1");
        CPPUNIT_ASSERT_EQUAL(AtLimit, countSendsTo("r1", 10, "1"));
        m_host.list({Harness::replica("r1", 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), countSendsTo("r1", 10, ""));
    }

    // A begun stream isn't refused. It must neither exceed the limit nor be broken off.
    void continuedStreamCounts()
    {
        limitOnly("r1", "1");
        CPPUNIT_ASSERT_EQUAL(AtLimit, countSendsTo("r1", 10, "1"));
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        const auto begun = m_host.transport.transfers.size();
        const auto caller = m_host.start(stream(), {.attemptId = "stream", .model = "m"});
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.transport.transfers[begun].replica);
        m_host.answerHead(begun, 200, {{"Stream", "yes"}});
        m_host.transport.transfers[begun].data(200, "id: 1\ndata: x\n\n");
        m_host.end(begun, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
        m_host.list({Harness::replica("r1")});
        m_host.scheduler.advance(3900ms);
        CPPUNIT_ASSERT_EQUAL(begun + 1, m_host.transport.transfers.size());
        CPPUNIT_ASSERT(!caller->isEnded);
        m_host.scheduler.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(begun + 2, m_host.transport.transfers.size());
    }

    // The load of an adapter ends for all requests that wait for it at the same moment.
    void requestsThatWaitForLoadKeepTheLimit()
    {
        limitOnly("r1", "1");
        for (int number = 0; number < 20; ++number) {
            m_host.start(stream(), {.attemptId = std::to_string(number), .model = "m", .adapter = "a1"});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), m_host.loads.size());
        const auto before = m_host.sendsTo("r1");
        for (std::size_t load = 0; load < 20; ++load) {
            m_host.finishLoad(load, Holding::AdapterOutcome::Ready);
        }
        CPPUNIT_ASSERT_EQUAL(before + AtLimit, m_host.sendsTo("r1"));
    }

    void limitAndPauseHoldTogether()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(unsafe(), {.attemptId = "1"});
        m_host.answer(0, 503, {{"Not-Run", "1"}, {"Pause", "2000"}, {"Limit", "1"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countSendsTo("r1", 10, "1"));
        m_host.scheduler.advance(2s);
        CPPUNIT_ASSERT_EQUAL(AtLimit, countSendsTo("r1", 10, "1"));
    }

    // The other hosts learn from the holder how much of the limit this host uses, also after its requests have ended.
    void useIsReportedWhileThereIsALimit()
    {
        limitOnly("r1", "1");
        CPPUNIT_ASSERT_EQUAL(AtLimit, countSendsTo("r1", 10, "1"));
        const auto use = m_host.fleet.collectUse(m_host.scheduler.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), use.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(AtLimit + 1), use.front().recentlySent);
        m_host.scheduler.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_host.fleet.collectUse(m_host.scheduler.now()).size());
        m_host.scheduler.advance(3s);
        CPPUNIT_ASSERT_EQUAL(0U, m_host.fleet.collectUse(m_host.scheduler.now()).at(0).recentlySent);
        m_host.scheduler.advance(1s);
        CPPUNIT_ASSERT(m_host.fleet.collectUse(m_host.scheduler.now()).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedReplicaTest);
