#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// Replicas that have just started or can be reached again.
class ReturningReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReturningReplicaTest);
    CPPUNIT_TEST(restartedReplicaIsLimited);
    CPPUNIT_TEST(secondCrashLowersTheLimit);
    CPPUNIT_TEST(relistedReplicaIsLimited);
    CPPUNIT_TEST(avoidedReplicaIsLimited);
    CPPUNIT_TEST(nothingIsLimitedWhenAllReplicasAreNew);
    CPPUNIT_TEST(restartedHostLimitsNothing);
    CPPUNIT_TEST(limitAloneRefusesNoRequest);
    CPPUNIT_TEST(fullReplicasAreNoAlternative);
    CPPUNIT_TEST(signsAreReportedToTheHolder);
    CPPUNIT_TEST(endIsRecordedWithoutTraffic);
    CPPUNIT_TEST(replicaIsRecognisedAfterALongService);
    CPPUNIT_TEST(lateResponseAfterALoadIsNoSign);
    CPPUNIT_TEST_SUITE_END();

    using Harness = Tests::ForwardingHarness;

    Harness m_host;

public:
    void setUp() override
    {
        m_host.fleet.registerMetrics(m_host.metrics);
    }

private:
    static Routes::Route unsafe()
    {
        return {.kind = Routes::RequestKind::Unsafe, .timeout = 60s, .objective = 300ms, .maxAttempts = 1};
    }

    // Two replicas that have served for some time.
    void listEstablished()
    {
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        m_host.scheduler.advance(20s);
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
    }

    // Sends requests that aren't answered, and returns how many of them went to the replica.
    std::size_t countSendsTo(const std::string &replica, int count)
    {
        const auto before = m_host.sendsTo(replica);
        for (int number = 0; number < count; ++number) {
            const auto caller = m_host.start(unsafe(), {.attemptId = "request" + std::to_string(number)});
            CPPUNIT_ASSERT_EQUAL(0U, caller->status);
        }
        return m_host.sendsTo(replica) - before;
    }

    [[nodiscard]] bool hasMetric(const std::string &line) const
    {
        return m_host.metrics.toPrometheusText().find(line + "\n") != std::string::npos;
    }

    [[nodiscard]] bool isAnyLimited() const
    {
        return !hasMetric("currantbay_replicas_ramping_up 0");
    }

    // An empty replica attracts the requests of all hosts, and was overloaded by them before its caches were filled.
    void restartedReplicaIsLimited()
    {
        listEstablished();
        CPPUNIT_ASSERT(!isAnyLimited());
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        CPPUNIT_ASSERT(isAnyLimited());
        const auto sent = countSendsTo("r1", 14);
        CPPUNIT_ASSERT(sent >= 1 && sent <= 4);
        m_host.scheduler.advance(10s);
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        CPPUNIT_ASSERT(!isAnyLimited());
        CPPUNIT_ASSERT(hasMetric("currantbay_replica_ramp_ups 1"));
    }

    // A replica that crashes by its load got the same load after each crash.
    void secondCrashLowersTheLimit()
    {
        listEstablished();
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        m_host.scheduler.advance(5s);
        m_host.list({Harness::replica("r1", 3), Harness::replica("r2")});
        CPPUNIT_ASSERT(countSendsTo("r1", 14) <= 1);
        CPPUNIT_ASSERT(hasMetric("currantbay_replica_ramp_ups 2"));
    }

    // After a false result of a health check all hosts came back to the replica at the same moment.
    void relistedReplicaIsLimited()
    {
        listEstablished();
        m_host.list({Harness::replica("r2")});
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        CPPUNIT_ASSERT(isAnyLimited());
        CPPUNIT_ASSERT(countSendsTo("r1", 14) <= 4);
    }

    void avoidedReplicaIsLimited()
    {
        listEstablished();
        const auto replica = Harness::replica("r1");
        const auto now = m_host.scheduler.now();
        CPPUNIT_ASSERT(m_host.fleet.recordOutcome(replica, Placement::AttemptOutcome::Unreachable, now, now));
        CPPUNIT_ASSERT(isAnyLimited());
        m_host.scheduler.advance(3s);
        CPPUNIT_ASSERT(countSendsTo("r1", 14) <= 4);
    }

    // At the start of a deployment the limits would leave it nowhere to send its requests.
    void nothingIsLimitedWhenAllReplicasAreNew()
    {
        m_host.list({Harness::replica("r1")});
        m_host.scheduler.advance(5s);
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        CPPUNIT_ASSERT(!isAnyLimited());
        m_host.scheduler.advance(20s);
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2", 2)});
        CPPUNIT_ASSERT(!isAnyLimited());
        m_host.scheduler.advance(20s);
        m_host.list({Harness::replica("r1", 3), Harness::replica("r2", 2)});
        CPPUNIT_ASSERT(isAnyLimited());
        m_host.list({Harness::replica("r1", 3), Harness::replica("r2", 3)});
        CPPUNIT_ASSERT(!isAnyLimited());
    }

    // A host that has started sees all replicas for the first time, and must not take them for new ones.
    void restartedHostLimitsNothing()
    {
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        m_host.fleet.applyExchangedLoad({.replica = {"r1"}, .active = 15}, m_host.scheduler.now());
        CPPUNIT_ASSERT(!isAnyLimited());
        CPPUNIT_ASSERT(countSendsTo("r2", 1) == 1);
    }

    void limitAloneRefusesNoRequest()
    {
        listEstablished();
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        const auto now = m_host.scheduler.now();
        m_host.fleet.recordOutcome(Harness::replica("r2"), Placement::AttemptOutcome::Unreachable, now, now);
        CPPUNIT_ASSERT(isAnyLimited());
        CPPUNIT_ASSERT_EQUAL(std::size_t(14), countSendsTo("r1", 14));
    }

    // Requests queued at a replica all of whose slots were in use, while the other one had free slots.
    void fullReplicasAreNoAlternative()
    {
        listEstablished();
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        m_host.fleet.applyExchangedLoad({.replica = {"r2"}, .active = 40}, m_host.scheduler.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), countSendsTo("r1", 10));
    }

    // Each host knew only what its own responses showed, which was too little at sixty hosts.
    void signsAreReportedToTheHolder()
    {
        listEstablished();
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        const auto sent = countSendsTo("r1", 4);
        std::size_t wanted = 0;
        for (const auto &use : m_host.fleet.collectUse(m_host.scheduler.now())) {
            CPPUNIT_ASSERT(use.replica.value == "r1" || use.returnSigns == Holding::ReturnSigns {});
            wanted += use.returnSigns.wanted;
        }
        CPPUNIT_ASSERT(sent > 0);
        CPPUNIT_ASSERT_EQUAL(sent, wanted);
    }

    // Without traffic and changes of the list, the metric showed a limit long after its end.
    void endIsRecordedWithoutTraffic()
    {
        listEstablished();
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        m_host.scheduler.advance(10s);
        (void)m_host.fleet.collectUse(m_host.scheduler.now());
        CPPUNIT_ASSERT(!isAnyLimited());
    }

    // The list may not change for hours. What was known of an address was forgotten when its entry was removed, so that
    // a replica that had served the other hosts all the time was taken for a new one.
    void replicaIsRecognisedAfterALongService()
    {
        listEstablished();
        m_host.scheduler.advance(1h);
        m_host.list({Harness::replica("r2")});
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        CPPUNIT_ASSERT(isAnyLimited());
        for (int step = 0; step < 15; ++step) {
            m_host.fleet.applyExchangedLoad({.replica = {"r1"}, .active = 12}, m_host.scheduler.now());
            m_host.scheduler.advance(200ms);
        }
        CPPUNIT_ASSERT(!isAnyLimited());
    }

    // The first requests for each adapter wait for its load, which made a replica that had started look slow.
    void lateResponseAfterALoadIsNoSign()
    {
        const auto start = m_host.scheduler.now();
        const auto old = Harness::replica("r2");
        const auto returned = Harness::replica("r1", 2);
        const Gateway::SharedLoad shared {.load = {.slots = 16, .own = 4, .others = 0}, .sharing = {}};
        Gateway::ReplicaReturns returns;
        returns.refresh({{old.id, old}, {returned.id, Harness::replica("r1")}}, start);
        for (int number = 0; number < 20; ++number) {
            returns.recordResponse(old, {.promptTokens = 100, .sentAt = start}, shared, start + 50ms);
        }
        const auto now = start + 20s;
        returns.refresh({{old.id, old}, {returned.id, returned}}, now);
        CPPUNIT_ASSERT_EQUAL(1.0, returns.usedShare(returned.id, shared, now));
        returns.recordResponse(returned, {.promptTokens = 100, .sentAt = now, .isAfterLoad = true}, shared, now + 1s);
        CPPUNIT_ASSERT_EQUAL(1.0, returns.usedShare(returned.id, shared, now + 1s));
        returns.recordResponse(returned, {.promptTokens = 4000, .sentAt = now}, shared, now + 1s);
        CPPUNIT_ASSERT_EQUAL(1.0, returns.usedShare(returned.id, shared, now + 1s));
        returns.recordResponse(returned, {.promptTokens = 100, .sentAt = now}, shared, now + 1s);
        CPPUNIT_ASSERT_EQUAL(2.0, returns.usedShare(returned.id, shared, now + 1s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturningReplicaTest);
