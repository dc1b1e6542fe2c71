#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// What a host measures of the speed of replicas by the responses that it forwards, and how it uses what is learned.
class MeasuredSpeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MeasuredSpeedTest);
    CPPUNIT_TEST(eventsOfStreamAreReported);
    CPPUNIT_TEST(responseAfterLoadIsNotMeasured);
    CPPUNIT_TEST(firstEventOfFullReplicaIsNotMeasured);
    CPPUNIT_TEST(stallIsReportedAtOnce);
    CPPUNIT_TEST(uniformStreamsCauseNoMoreNotices);
    CPPUNIT_TEST(slowReplicaIsAvoidedByHolderNews);
    CPPUNIT_TEST(restartForgetsSpeed);
    CPPUNIT_TEST(usedTokensOfAllHostsCount);
    CPPUNIT_TEST(slowPlainReplicaIsAvoidedBriefly);
    CPPUNIT_TEST_SUITE_END();

    using Harness = Tests::ForwardingHarness;

    Harness m_host;

    static Routes::Route stream()
    {
        return {.name = "stream", .kind = Routes::RequestKind::Stream, .timeout = 15s, .objective = 1s};
    }

    static Gateway::CallerRequest request(const std::string &id, const std::string &adapter = "")
    {
        return {.attemptId = id, .model = "m", .adapter = adapter, .promptTokens = 1000, .outputTokens = 200};
    }

    // Answers with events at this interval, the first one after the delay.
    void answer(std::size_t transfer, int events, Core::Duration delay, Core::Duration interval)
    {
        m_host.scheduler.advance(delay);
        m_host.answerHead(transfer, 200, {{"Stream", "1"}, {"Framed", "1"}});
        for (int id = 1; id <= events; ++id) {
            m_host.transport.transfers.at(transfer).data(200, "id: " + std::to_string(id) + "\ndata: x\n\n");
            m_host.scheduler.advance(interval);
        }
    }

    Holding::ReplicaUse use()
    {
        const auto uses = m_host.fleet.collectUse(m_host.scheduler.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), uses.size());
        return uses[0];
    }

    void eventsOfStreamAreReported()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(stream(), request("1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1200), use().usedTokens);
        answer(0, 30, 50ms, 8ms);
        const auto measured = use();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8000, measured.eventMicroseconds, 10);
        CPPUNIT_ASSERT(measured.eventSamples >= 5);
        CPPUNIT_ASSERT_EQUAL(1U, measured.prefillSamples);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50000, measured.prefillMicroseconds, 10);
        m_host.end(0, {.status = 200});
        const auto ended = use();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ended.usedTokens);
        CPPUNIT_ASSERT(ended.eventSamples < measured.eventSamples);
    }

    // A response is late because its adapter had to be loaded. The replica isn't slow.
    void responseAfterLoadIsNotMeasured()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(stream(), request("1", "a1"));
        m_host.scheduler.advance(500ms);
        m_host.finishLoad(0, Holding::AdapterOutcome::Ready);
        answer(0, 30, 400ms, 20ms);
        const auto measured = use();
        CPPUNIT_ASSERT_EQUAL(0U, measured.eventSamples);
        CPPUNIT_ASSERT_EQUAL(0U, measured.prefillSamples);
        // The next request for the adapter is measured.
        m_host.start(stream(), request("2", "a1"));
        answer(1, 30, 50ms, 8ms);
        CPPUNIT_ASSERT(use().eventSamples > 0);
    }

    // The request waits for a slot, for a time that depends on the other requests.
    void firstEventOfFullReplicaIsNotMeasured()
    {
        m_host.list({Harness::replica("r1", 1, 2)});
        m_host.fleet.applyExchangedLoad({.replica = {"r1"}, .active = 2, .waitingTokens = 3000},
                                        m_host.scheduler.now());
        m_host.start(stream(), request("1"));
        answer(0, 2, 900ms, 8ms);
        CPPUNIT_ASSERT_EQUAL(0U, use().prefillSamples);
    }

    void applyLoad(const std::string &replica, std::uint32_t eventMicroseconds)
    {
        m_host.fleet.applyExchangedLoad(
            {.replica = {replica}, .eventMicroseconds = eventMicroseconds, .eventSamples = 100},
            m_host.scheduler.now());
    }

    // The next notice is due only when most of a stall of 600 ms is over.
    void stallIsReportedAtOnce()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(stream(), request("1"));
        answer(0, 10, 50ms, 8ms);
        (void)use();
        applyLoad("r1", 8000);
        m_host.scheduler.advance(160ms);
        for (int id = 11; id <= 20; ++id) {
            m_host.transport.transfers.at(0).data(200, "id: " + std::to_string(id) + "\ndata: x\n\n");
            m_host.scheduler.advance(20ms);
        }
        const auto measured = use();
        CPPUNIT_ASSERT(measured.eventMicroseconds > 15000);
        CPPUNIT_ASSERT(m_host.fleet.collectUse(m_host.scheduler.now()).empty());
    }

    // With replicas of the usual speed, the notices must not become more frequent than without measured times.
    void uniformStreamsCauseNoMoreNotices()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(stream(), request("1"));
        m_host.answerHead(0, 200, {{"Stream", "1"}, {"Framed", "1"}});
        applyLoad("r1", 8000);
        std::size_t notices = 0;
        for (int id = 1; id <= 400; ++id) {
            m_host.transport.transfers.at(0).data(200, "id: " + std::to_string(id) + "\ndata: x\n\n");
            m_host.scheduler.advance(id % 2 == 0 ? 7ms : 9ms);
            if (id % 10 == 0) {
                notices += m_host.fleet.collectUse(m_host.scheduler.now()).size();
            }
        }
        CPPUNIT_ASSERT(notices <= 10);
    }

    std::size_t sendsOfFifty(const std::string &replica)
    {
        const auto before = m_host.sendsTo(replica);
        const auto now = m_host.scheduler.now();
        (void)m_host.fleet.collectUse(now);
        for (int number = 0; number < 50; ++number) {
            const auto sent = m_host.transport.transfers.size();
            m_host.start(stream(), request("probe" + std::to_string(number)));
            m_host.answer(sent, 200, {{"Stream", "1"}, {"Framed", "1"}});
        }
        return m_host.sendsTo(replica) - before;
    }

    void listThree()
    {
        m_host.list({Harness::replica("r1"), Harness::replica("r2"), Harness::replica("r3")});
    }

    // A slow replica got as many requests as the others.
    void slowReplicaIsAvoidedByHolderNews()
    {
        listThree();
        for (const auto *replica : {"r1", "r2", "r3"}) {
            applyLoad(replica, 8000);
        }
        CPPUNIT_ASSERT(sendsOfFifty("r1") > 5);
        applyLoad("r1", 16000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), sendsOfFifty("r1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_host.fleet.speed().unusualReplicas(m_host.scheduler.now()).slow);
        // The holder is lost.
        m_host.scheduler.advance(20s);
        CPPUNIT_ASSERT(sendsOfFifty("r1") > 5);
    }

    void restartForgetsSpeed()
    {
        listThree();
        for (const auto *replica : {"r1", "r2", "r3"}) {
            applyLoad(replica, 8000);
        }
        applyLoad("r1", 16000);
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2"), Harness::replica("r3")});
        CPPUNIT_ASSERT(sendsOfFifty("r1") > 5);
    }

    // The memory of a replica is full because of the requests of other hosts, while it has free slots.
    void usedTokensOfAllHostsCount()
    {
        m_host.fleet.setMemory([](const std::string &service) {
            return service == "s" ? std::uint64_t(50000) : 0;
        });
        listThree();
        m_host.fleet.applyExchangedLoad({.replica = {"r1"}, .active = 4, .usedTokens = 49500}, m_host.scheduler.now());
        for (const auto *replica : {"r2", "r3"}) {
            m_host.fleet.applyExchangedLoad({.replica = {replica}, .active = 4, .usedTokens = 8000},
                                            m_host.scheduler.now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), sendsOfFifty("r1"));
    }

    // Sends a request of a plain service and returns the replica, which answers after this time.
    std::string call(Core::Duration time)
    {
        const auto sent = m_host.transport.transfers.size();
        m_host.start({.name = "plain", .kind = Routes::RequestKind::Safe, .timeout = 5s},
                     {.attemptId = "call" + std::to_string(sent)});
        m_host.scheduler.advance(time);
        m_host.answer(sent, 200, {{"Framed", "1"}});
        (void)m_host.fleet.collectUse(m_host.scheduler.now());
        return m_host.transport.transfers.at(sent).replica;
    }

    // A server of a plain service stalls for 600 ms. No holder tells of it, and this host's next requests must avoid it
    // at once, and not for longer.
    void slowPlainReplicaIsAvoidedBriefly()
    {
        listThree();
        for (int number = 0; number < 90; ++number) {
            (void)call(30ms);
            m_host.scheduler.advance(100ms);
        }
        const auto stalled = call(75ms);
        const auto avoidedUntil = m_host.scheduler.now() + 150ms;
        while (m_host.scheduler.now() < avoidedUntil) {
            CPPUNIT_ASSERT(call(30ms) != stalled);
        }
        m_host.scheduler.advance(500ms);
        int returned = 0;
        for (int number = 0; number < 30; ++number) {
            returned += call(30ms) == stalled ? 1 : 0;
        }
        CPPUNIT_ASSERT(returned > 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeasuredSpeedTest);
