#include <LibGateway/Tests/ForwardingHarness.h>
#include <LibHolding/ReplicaController.h>
#include <LibHolding/Tests/FakeReplica.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// Replicas that turn requests away and say for how long they want no others.
class PausedReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PausedReplicaTest);
    CPPUNIT_TEST(requestGoesElsewhereUntilThePauseEnds);
    CPPUNIT_TEST(laterResponseDoesNotShortenPause);
    CPPUNIT_TEST(zeroIsNoPause);
    CPPUNIT_TEST(enormousPauseIsLimited);
    CPPUNIT_TEST(requestIsRefusedAtOnceIfAllArePaused);
    CPPUNIT_TEST(retryStaysWithinBudget);
    CPPUNIT_TEST(returningRequestsFillFreeSlotsOnly);
    CPPUNIT_TEST(returningRequestsAvoidFullReplica);
    CPPUNIT_TEST(requestsThatWaitForLoadGoElsewhere);
    CPPUNIT_TEST(brokenStreamWaitsForTheEndOfThePause);
    CPPUNIT_TEST(pausedReplicaThatLeavesIsNotUsedAgain);
    CPPUNIT_TEST(newIncarnationIsNotPaused);
    CPPUNIT_TEST(queuedOrderWaitsForTheEndOfThePause);
    CPPUNIT_TEST(forwardedResponseKeepsItsRetryAfter);
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

    static Routes::Route unsafe(Core::Duration timeout = 5s)
    {
        return {.kind = Routes::RequestKind::Unsafe, .timeout = timeout, .objective = 300ms, .maxAttempts = 1};
    }

    static Net::HttpFields rejection(const std::string &pause)
    {
        return {{"Not-Run", "1"}, {"Pause", pause}};
    }

    // Sends a request, which the only listed replica turns away.
    void pauseOnly(const std::string &replica, const std::string &pause)
    {
        m_host.list({Harness::replica(replica, 1, 4)});
        m_host.start(unsafe(), {.attemptId = "turned away by " + replica});
        m_host.answer(m_host.transport.transfers.size() - 1, 503, rejection(pause));
    }

    // Sends requests that are answered at once, and returns how many of them go to the replica.
    std::size_t countSendsTo(const std::string &replica)
    {
        const auto before = m_host.sendsTo(replica);
        for (int number = 0; number < 60; ++number) {
            const auto sent = m_host.transport.transfers.size();
            m_host.start(unsafe(), {.attemptId = "probe" + std::to_string(number)});
            if (m_host.transport.transfers.size() > sent) {
                m_host.answer(sent, 200, {});
            }
        }
        return m_host.sendsTo(replica) - before;
    }

    // A replica that had asked for a pause got the same number of requests as before.
    void requestGoesElsewhereUntilThePauseEnds()
    {
        m_host.list({Harness::replica("r1")});
        const auto caller = m_host.start(unsafe(), {.attemptId = "1"});
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        m_host.answer(0, 503, rejection("2500"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_host.transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.transport.transfers[1].replica);
        m_host.answer(1, 200, {});
        CPPUNIT_ASSERT_EQUAL(200U, caller->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countSendsTo("r1"));
        m_host.scheduler.advance(2499ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countSendsTo("r1"));
        m_host.scheduler.advance(1ms);
        CPPUNIT_ASSERT(countSendsTo("r1") > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_host.metrics.countOf("currantbay_replica_pauses_total"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2500),
                             m_host.metrics.countOf("currantbay_replica_pause_milliseconds_total"));
    }

    // Several requests are on their way when the first of them is turned away.
    void laterResponseDoesNotShortenPause()
    {
        m_host.list({Harness::replica("r1")});
        for (const auto *request : {"1", "2", "3"}) {
            m_host.start(unsafe(), {.attemptId = request});
        }
        m_host.answer(0, 503, rejection("2000"));
        m_host.answer(1, 503, rejection("100"));
        m_host.answer(2, 200, {});
        m_host.scheduler.advance(1999ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countSendsTo("r1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_host.metrics.countOf("currantbay_replica_pauses_total"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2000),
                             m_host.metrics.countOf("currantbay_replica_pause_milliseconds_total"));
    }

    void zeroIsNoPause()
    {
        pauseOnly("r1", "0");
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), countSendsTo("r1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_host.metrics.countOf("currantbay_replica_pauses_total"));
    }

    // A replica that says a year would be lost to this host.
    void enormousPauseIsLimited()
    {
        pauseOnly("r1", "31536000000");
        m_host.scheduler.advance(9min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countSendsTo("r1"));
        m_host.scheduler.advance(1min);
        CPPUNIT_ASSERT(countSendsTo("r1") > 0);
    }

    // Callers waited until their deadline, or returned while the replicas were still paused.
    void requestIsRefusedAtOnceIfAllArePaused()
    {
        pauseOnly("r1", "3000");
        m_host.scheduler.advance(500ms);
        pauseOnly("r2", "1500");
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        const auto sent = m_host.transport.transfers.size();
        std::set<double> delays;
        for (int number = 0; number < 50; ++number) {
            const auto caller = m_host.start(unsafe(), {.attemptId = std::to_string(number)});
            CPPUNIT_ASSERT_EQUAL(503U, caller->status);
            CPPUNIT_ASSERT(caller->body.find("did not run") != std::string::npos);
            CPPUNIT_ASSERT(caller->retryAfter() >= 1.5 && caller->retryAfter() <= 2.0);
            delays.insert(caller->retryAfter());
        }
        CPPUNIT_ASSERT(delays.size() > 10); // They don't all return at the same time.
        const auto impatient = m_host.start(unsafe(1600ms), {.attemptId = "impatient"});
        CPPUNIT_ASSERT(impatient->retryAfter() >= 1.5 && impatient->retryAfter() <= 1.6);
        // The replicas can't serve it in its time. It must not return before the end of the pause either.
        const auto hasty = m_host.start(unsafe(300ms), {.attemptId = "hasty"});
        CPPUNIT_ASSERT(hasty->isEnded);
        CPPUNIT_ASSERT_EQUAL(1.5, hasty->retryAfter());
        CPPUNIT_ASSERT_EQUAL(sent, m_host.transport.transfers.size());
        // Another replica isn't paused.
        m_host.list({Harness::replica("r1"), Harness::replica("r2"), Harness::replica("r3")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), countSendsTo("r3"));
    }

    void retryStaysWithinBudget()
    {
        m_host.budget.setOptions({.ratio = 0, .extra = 0});
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        const auto caller = m_host.start(unsafe(), {.attemptId = "1"});
        m_host.answer(0, 503, rejection("2000"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_host.transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(503U, caller->status);
    }

    // All requests that had been held off were sent to the replica in the moment in which its pause ended.
    void returningRequestsFillFreeSlotsOnly()
    {
        pauseOnly("r1", "1000");
        m_host.fleet.applyExchangedLoad({.replica = {"r1"}, .active = 1}, m_host.scheduler.now());
        m_host.scheduler.advance(1000ms);
        const auto before = m_host.sendsTo("r1");
        for (int number = 0; number < 40; ++number) {
            const auto caller = m_host.start(unsafe(), {.attemptId = std::to_string(number)});
            CPPUNIT_ASSERT_EQUAL(number < 3 ? 0U : 503U, caller->status);
        }
        CPPUNIT_ASSERT_EQUAL(before + 3, m_host.sendsTo("r1"));
        m_host.answer(m_host.transport.transfers.size() - 1, 200, {});
        m_host.start(unsafe(), {.attemptId = "into the free slot"});
        CPPUNIT_ASSERT_EQUAL(before + 4, m_host.sendsTo("r1"));
        // The replica has had time to say if that is too much.
        m_host.scheduler.advance(1000ms);
        m_host.start(unsafe(), {.attemptId = "queued there"});
        CPPUNIT_ASSERT_EQUAL(before + 5, m_host.sendsTo("r1"));
    }

    void returningRequestsAvoidFullReplica()
    {
        pauseOnly("r1", "1000");
        m_host.list({Harness::replica("r1", 1, 4), Harness::replica("r2", 1, 64)});
        m_host.scheduler.advance(1000ms);
        const auto before = m_host.sendsTo("r1");
        for (int number = 0; number < 100; ++number) {
            CPPUNIT_ASSERT_EQUAL(0U, m_host.start(unsafe(), {.attemptId = std::to_string(number)})->status);
        }
        CPPUNIT_ASSERT(m_host.sendsTo("r1") - before <= 4);
    }

    // Requests whose load completed during the pause were sent to the replica.
    void requestsThatWaitForLoadGoElsewhere()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(stream(), {.attemptId = "turned away", .model = "m"});
        for (int number = 0; number < 20; ++number) {
            m_host.start(stream(), {.attemptId = std::to_string(number), .model = "m", .adapter = "a1"});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), m_host.loads.size());
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        m_host.answer(0, 503, rejection("2000"));
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.transport.transfers.back().replica);
        for (std::size_t load = 0; load < 20; ++load) {
            m_host.finishLoad(load, load % 2 == 0 ? Holding::AdapterOutcome::Ready : Holding::AdapterOutcome::Loading);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_host.sendsTo("r1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), m_host.loads.size());
        for (std::size_t load = 20; load < 40; ++load) {
            CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.loads[load].first.replica.value);
        }
    }

    // A stream that has begun isn't refused. It must neither be resumed at the paused replica nor be broken off.
    void brokenStreamWaitsForTheEndOfThePause()
    {
        pauseOnly("r1", "2000");
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        const auto caller = m_host.start(stream(), {.attemptId = "stream", .model = "m"});
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.transport.transfers[1].replica);
        m_host.answerHead(1, 200, {{"Stream", "yes"}});
        m_host.transport.transfers[1].data(200, "id: 1\ndata: x\n\n");
        m_host.end(1, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
        m_host.list({Harness::replica("r1")});
        m_host.scheduler.advance(1900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_host.transport.transfers.size());
        CPPUNIT_ASSERT(!caller->isEnded);
        m_host.scheduler.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_host.transport.transfers.size());
        m_host.answerHead(2, 200, {{"Stream", "yes"}});
        m_host.transport.transfers[2].data(200, "id: 2\ndata: x\n\n");
        m_host.end(2, {.status = 200});
        CPPUNIT_ASSERT(caller->isEnded && !caller->isAborted);
    }

    // The end of the pause must not end the leaving.
    void pausedReplicaThatLeavesIsNotUsedAgain()
    {
        m_host.list({Harness::replica("r1")});
        m_host.start(unsafe(), {.attemptId = "1"});
        m_host.list({Harness::replica("r1"), Harness::replica("r2")});
        auto fields = rejection("1000");
        fields.emplace_back("Leaving", "1");
        m_host.answer(0, 503, fields);
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_host.transport.transfers.back().replica);
        m_host.scheduler.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countSendsTo("r1"));
        m_host.list({Harness::replica("r1", 2), Harness::replica("r2")});
        CPPUNIT_ASSERT(countSendsTo("r1") > 0);
    }

    void newIncarnationIsNotPaused()
    {
        pauseOnly("r1", "5000");
        m_host.list({Harness::replica("r1", 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), countSendsTo("r1"));
    }

    // Requests that wait for a load are told at once, and the order isn't sent when its turn comes during the pause.
    void queuedOrderWaitsForTheEndOfThePause()
    {
        Holding::FakeReplica orders(m_host.scheduler);
        const Fleet::ReleaseTable releases;
        Holding::ReplicaController controller(
            m_host.scheduler, orders, {.self = {"h"}},
            [this](const Core::TargetId &) -> std::optional<std::uint64_t> {
                return m_host.fleet.isPaused(Harness::replica("r1"), m_host.scheduler.now())
                    ? std::nullopt
                    : std::optional<std::uint64_t>(7);
            },
            releases, Harness::replica("r1"),
            {.weightMemory = 1000, .adapterSlots = 3, .models = {{.name = "m", .size = 100, .adapterSize = 1}}});
        const auto run = [this, &controller](int ticks) {
            for (int tick = 0; tick < ticks; ++tick) {
                controller.tick();
                m_host.scheduler.advance(50ms);
            }
        };
        std::vector<std::uint8_t> outcomes;
        const auto ask = [&controller, &outcomes](const std::string &adapter) {
            controller.request({.replica = {"r1"}, .model = "m", .adapter = adapter}, [&outcomes](const auto &reply) {
                outcomes.push_back(reply.outcome);
            });
        };
        run(10);
        ask("a0");
        ask("a1"); // Queued behind the order in flight.
        pauseOnly("r1", "1000");
        run(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.orderCalls);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes.size());
        ask("a2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outcomes.size());
        run(20);
        ask("a1");
        run(10);
        CPPUNIT_ASSERT(orders.isLoaded("a1") && !orders.isLoaded("a2"));
    }

    // A response that the replica doesn't mark as not run is its answer to the caller, which stays as it is.
    void forwardedResponseKeepsItsRetryAfter()
    {
        m_host.list({Harness::replica("r1")});
        const auto caller = m_host.start(unsafe(), {.attemptId = "1"});
        m_host.answer(0, 503, {{"Retry-After", "0.75"}, {"Pause", "750"}});
        CPPUNIT_ASSERT_EQUAL(503U, caller->status);
        CPPUNIT_ASSERT_EQUAL(std::string("0.75"), std::string(Net::valueOf(caller->headers, "Retry-After")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countSendsTo("r1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausedReplicaTest);
