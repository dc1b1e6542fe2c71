#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// Replicas that say in a response that they leave.
class LeavingReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingReplicaTest);
    CPPUNIT_TEST(requestsThatWaitForLoadGoElsewhere);
    CPPUNIT_TEST(everyKindOfResponseTells);
    CPPUNIT_TEST(headOfAnotherRequestIsNoNews);
    CPPUNIT_TEST(listDoesNotRevokeIt);
    CPPUNIT_TEST(newIncarnationAtTheSameAddressIsUsed);
    CPPUNIT_TEST(lateResponseOfPreviousIncarnationIsNoNews);
    CPPUNIT_TEST(brokenStreamContinuesElsewhere);
    CPPUNIT_TEST(silentStreamIsNotMovedThere);
    CPPUNIT_TEST(rejectionIsNotTakenForMissingAdapter);
    CPPUNIT_TEST(withoutAnotherReplicaTheRequestIsRefused);
    CPPUNIT_TEST_SUITE_END();

    using Harness = Tests::ForwardingHarness;

    Harness m_host;

    static Routes::Route stream()
    {
        return {.kind = Routes::RequestKind::Stream,
                .isResumable = true,
                .timeout = 15s,
                .objective = 1s,
                .maxAttempts = 3};
    }

    static Routes::Route unsafe()
    {
        return {.kind = Routes::RequestKind::Unsafe, .timeout = 1500ms, .objective = 300ms, .maxAttempts = 1};
    }

    // Sends requests until one has gone to the replica, answers the others and returns the transfer of that one.
    std::size_t sendTo(const std::string &replica, const Routes::Route &route)
    {
        const auto first = m_host.transport.transfers.size();
        do {
            CPPUNIT_ASSERT_MESSAGE(replica + " gets no requests", m_host.transport.transfers.size() < first + 100);
            m_host.start(route,
                         {.attemptId = replica + std::to_string(m_host.transport.transfers.size()),
                          .model = route.kind == Routes::RequestKind::Stream ? "m" : ""});
        } while (m_host.transport.transfers.back().replica != replica);
        const auto last = m_host.transport.transfers.size() - 1;
        for (auto transfer = first; transfer < last; ++transfer) {
            m_host.answer(transfer, 200, {});
        }
        return last;
    }

    void expectNoMoreSendsTo(const std::string &replica)
    {
        const auto before = m_host.sendsTo(replica);
        for (int number = 0; number < 60; ++number) {
            m_host.start(unsafe(), {.attemptId = "later" + std::to_string(number)});
            m_host.answer(m_host.transport.transfers.size() - 1, 200, {});
        }
        CPPUNIT_ASSERT_EQUAL(before, m_host.sendsTo(replica));
    }

    // A replica that wrote an earlier response once more was excluded or paused by it.
    void headOfAnotherRequestIsNoNews()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(unsafe(), {.attemptId = "first"});
        const auto head = m_host.transport.transfers.at(0).head;
        head(503, {{"Attempt", "earlier"}, {"Not-Run", "1"}, {"Leaving", "1"}, {"Pause", "60000"}});
        m_host.end(0, {.status = 503});
        m_host.start(unsafe(), {.attemptId = "second"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_host.sendsTo("r1"));
    }

    // Requests whose load completed after the news were sent to the replica that leaves.
    void requestsThatWaitForLoadGoElsewhere()
    {
        m_host.list({Harness::replica("r1")});
        const auto running = m_host.start(stream(), {.attemptId = "running", .model = "m"});
        std::vector<std::shared_ptr<Tests::CallerEnd>> waiting;
        for (int number = 0; number < 20; ++number) {
            waiting.push_back(m_host.start(
                stream(), {.attemptId = "waiting" + std::to_string(number), .model = "m", .adapter = "a1"}));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), m_host.loads.size());
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        m_host.scheduler.advance(100ms);
        m_host.answerHead(0, 200, {{"Stream", "yes"}, {"Leaving", "1"}});
        for (std::size_t load = 0; load < 20; ++load) {
            m_host.finishLoad(load, load % 2 == 0 ? Holding::AdapterOutcome::Ready : Holding::AdapterOutcome::Loading);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_host.sendsTo("r1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), m_host.loads.size());
        for (std::size_t load = 20; load < 40; ++load) {
            CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.loads[load].first.replica.value);
            m_host.finishLoad(load, Holding::AdapterOutcome::Ready);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_host.sendsTo("r1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), m_host.sendsTo("r2"));
        // What runs there goes on.
        m_host.transport.transfers[0].data(200, "id: 1\ndata: x\n\n");
        m_host.end(0, {.status = 200});
        CPPUNIT_ASSERT(running->isEnded && !running->isAborted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_host.metrics.countOf("currantbay_replicas_leaving_total"));
    }

    // A replica went on getting requests until the list said that it drains.
    void everyKindOfResponseTells()
    {
        for (const long status : {200L, 400L, 421L, 429L, 500L, 503L}) {
            // A fresh incarnation for each status.
            m_host.list({Harness::replica("r1", static_cast<std::uint64_t>(status)), Harness::replica("r2")});
            const auto transfer = sendTo("r1", unsafe());
            m_host.answer(transfer, status, {{"Leaving", "1"}});
            expectNoMoreSendsTo("r1");
        }
    }

    // Requests went to the replica again when its entry was written, or when its entry was back after an outage.
    void listDoesNotRevokeIt()
    {
        const std::vector both {Harness::replica("r1"), Harness::replica("r2")};
        m_host.list(both);
        m_host.answer(sendTo("r1", unsafe()), 200, {{"Leaving", "1"}});
        m_host.list(both);
        expectNoMoreSendsTo("r1");
        m_host.list({both[1]});
        m_host.scheduler.advance(1min);
        m_host.list(both);
        expectNoMoreSendsTo("r1");
    }

    // Otherwise a service would lose a place with each restart.
    void newIncarnationAtTheSameAddressIsUsed()
    {
        m_host.list({Harness::replica("r1", 1), Harness::replica("r2", 1)});
        m_host.answer(sendTo("r1", unsafe()), 200, {{"Leaving", "1"}});
        expectNoMoreSendsTo("r1");
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2", 1)});
        m_host.answer(sendTo("r1", unsafe()), 200, {{"Leaving", "1"}});
        expectNoMoreSendsTo("r1");
        auto successor = Harness::replica("r3", 3);
        successor.address = "r1";
        m_host.list({successor, Harness::replica("r2", 1)});
        sendTo("r3", unsafe());
    }

    // The fresh incarnation was taken for the one that leaves.
    void lateResponseOfPreviousIncarnationIsNoNews()
    {
        m_host.list({Harness::replica("r1", 1), Harness::replica("r2", 1)});
        const auto transfer = sendTo("r1", stream());
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2", 1)});
        m_host.answerHead(transfer, 200, {{"Stream", "yes"}, {"Leaving", "1"}});
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2", 1)});
        sendTo("r1", unsafe());
    }

    // The stream was resumed at the replica that leaves, or waited for it.
    void brokenStreamContinuesElsewhere()
    {
        m_host.list({Harness::replica("r1"), Harness::replica("r2"), Harness::replica("r3")});
        m_host.answer(sendTo("r2", unsafe()), 200, {{"Leaving", "1"}});
        m_host.fleet.applyExchangedLoad({.replica = {"r3"}, .active = 10}, m_host.scheduler.now());
        const auto first = sendTo("r1", stream());
        const auto sent = m_host.transport.transfers.size();
        m_host.answerHead(first, 200, {{"Stream", "yes"}, {"Leaving", "1"}});
        m_host.transport.transfers[first].data(200, "id: 1\ndata: x\n\n");
        m_host.end(first, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
        CPPUNIT_ASSERT_EQUAL(sent + 1, m_host.transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r3"), m_host.transport.transfers.back().replica);
    }

    // The only other replica leaves, so that the silent stream stays where it is until a replica is added.
    void silentStreamIsNotMovedThere()
    {
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        m_host.answer(sendTo("r2", unsafe()), 200, {{"Leaving", "1"}});
        const auto first = sendTo("r1", stream());
        m_host.answerHead(first, 200, {{"Stream", "yes"}});
        m_host.transport.transfers[first].data(200, "id: 1\ndata: x\n\n");
        m_host.scheduler.advance(3s);
        CPPUNIT_ASSERT(m_host.transport.transfers[first].isOpen);
        CPPUNIT_ASSERT_EQUAL(first + 1, m_host.transport.transfers.size());
        m_host.list({Harness::replica("r1"), Harness::replica("r2"), Harness::replica("r3")});
        m_host.scheduler.advance(3s);
        CPPUNIT_ASSERT_EQUAL(std::string("r3"), m_host.transport.transfers.back().replica);
    }

    // A rejection made the request wait for its adapter to be loaded at the same replica again.
    void rejectionIsNotTakenForMissingAdapter()
    {
        m_host.list({Harness::replica("r1")});
        m_host.fleet.setResident({"r1"}, "m/a1", 1, m_host.scheduler.now());
        m_host.start(stream(), {.attemptId = "1", .model = "m", .adapter = "a1"});
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        m_host.answer(0, 503, {{"Not-Run", "1"}, {"Leaving", "1"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_host.loads.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.loads[0].first.replica.value);
    }

    void withoutAnotherReplicaTheRequestIsRefused()
    {
        m_host.list({Harness::replica("r1")});
        m_host.answer(sendTo("r1", unsafe()), 200, {{"Leaving", "1"}});
        const auto refused = m_host.start(unsafe(), {.attemptId = "refused"});
        CPPUNIT_ASSERT_EQUAL(503U, refused->status);
        CPPUNIT_ASSERT(refused->retryAfter() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingReplicaTest);
