#include <LibGateway/Tests/ForwardingFixture.h>

using namespace std::chrono_literals;

using namespace Gateway::Testing;

class ForwardedRequestTest : public ForwardingFixture
{
    CPPUNIT_TEST_SUITE(ForwardedRequestTest);
    CPPUNIT_TEST(slowStreamIsNotCut);
    CPPUNIT_TEST(silentStreamStaysWhereItIsUntilAnotherReplicaIsReady);
    CPPUNIT_TEST(silentStreamContinuesAtReplicaThatIsReady);
    CPPUNIT_TEST(silentRequestStaysWhereItIsUntilItCanBeRetried);
    CPPUNIT_TEST(bytesWithoutEventsAreNoProgress);
    CPPUNIT_TEST(brokenStreamIsContinuedUntilItsDeadline);
    CPPUNIT_TEST(slowLoadIsAwaitedAtTheSameReplica);
    CPPUNIT_TEST(endlessBodyIsBrokenOff);
    CPPUNIT_TEST(endlessEventIsBrokenOff);
    CPPUNIT_TEST(lostAnswerIsNeitherRepeatedNorCalledNotRun);
    CPPUNIT_TEST(answerOfAnotherRequestIsNotForwarded);
    CPPUNIT_TEST(requestThatDidNotRunIsSentAgain);
    CPPUNIT_TEST(refusedConnectionCostsNoRetry);
    CPPUNIT_TEST(workEndsWhenCallerLeaves);
    CPPUNIT_TEST(requestAtTheEndOfAStopGetsAnAnswer);
    CPPUNIT_TEST_SUITE_END();

    void slowStreamIsNotCut()
    {
        startStream();
        for (int id = 1; id < 10; ++id) {
            m_scheduler.advance(1100ms);
            CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
            m_transport.transfers[0].data(200, event(id));
        }
        end(0, {.status = 200});
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
        CPPUNIT_ASSERT(m_loads.empty());
    }

    void silentStreamStaysWhereItIsUntilAnotherReplicaIsReady()
    {
        startStream();
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT(!m_loads.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_loads[0].first.replica.value);
        reply(0, Holding::AdapterOutcome::Unavailable);
        m_scheduler.advance(500ms);
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
        // The replica goes on before another one is ready.
        m_transport.transfers[0].data(200, event(1));
        reply(m_loads.size() - 1, Holding::AdapterOutcome::Ready);
        m_scheduler.advance(500ms);
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        end(0, {.status = 200});
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
    }

    void silentStreamContinuesAtReplicaThatIsReady()
    {
        startStream();
        m_scheduler.advance(2s);
        reply(0, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_transport.transfers[1].request.url);
        CPPUNIT_ASSERT_EQUAL(std::string("after 0"), m_transport.transfers[1].request.headers.back());
        answerHead(1, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
        m_transport.transfers[1].data(200, event(1));
        end(1, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(event(0) + event(1), m_exchange->body);
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
    }

    // A request failed because its replica was silent for a moment while the retry budget was used up.
    void silentRequestStaysWhereItIsUntilItCanBeRetried()
    {
        while (m_budget.tryRetry("s", 1, m_scheduler.now())) { }
        start({.kind = Routes::RequestKind::Safe, .timeout = 5s, .objective = 300ms, .maxAttempts = 2}, {});
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled && !m_exchange->isEnded);
        answerHead(0, 200, {{"Attempt", "caller-1"}});
        end(0, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(200U, m_exchange->status);
    }

    // A stalled replica sends a byte now and then.
    void bytesWithoutEventsAreNoProgress()
    {
        startStream();
        for (int i = 0; i < 8; ++i) {
            m_transport.transfers[0].data(200, "d");
            m_scheduler.advance(200ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
    }

    // The response was broken off when two replicas couldn't load its adapter at once, though 12 of 15 seconds were
    // left.
    void brokenStreamIsContinuedUntilItsDeadline()
    {
        startStream();
        end(0, {.error = "Failure when receiving data from the peer"});
        for (auto passed = 0s; passed < 10s; passed += 1s) {
            for (std::size_t load = m_loads.size(); load > 0 && load == m_loads.size();) {
                --load;
                reply(load, Holding::AdapterOutcome::Unavailable);
            }
            m_scheduler.advance(1s);
            CPPUNIT_ASSERT(!m_exchange->isEnded);
        }
        reply(m_loads.size() - 1, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        answerHead(1, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
        m_transport.transfers[1].data(200, event(1));
        end(1, {.status = 200});
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
    }

    void slowLoadIsAwaitedAtTheSameReplica()
    {
        start({.kind = Routes::RequestKind::Stream, .timeout = 12s, .objective = 800ms},
              {.model = "m", .adapter = "a1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
        m_scheduler.advance(1s);
        reply(0, Holding::AdapterOutcome::Loading);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_loads.size());
        CPPUNIT_ASSERT(m_loads[0].first.replica == m_loads[1].first.replica);
        m_scheduler.advance(1s);
        reply(1, Holding::AdapterOutcome::Loading);
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
        CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), m_exchange->headers.at(0).first);
        CPPUNIT_ASSERT(m_transport.transfers.empty());
    }

    void endlessBodyIsBrokenOff()
    {
        startUnsafe();
        answerHead(0, 200, {{"Attempt", "caller-1"}});
        const std::string piece(1U << 20U, 'x');
        for (int i = 0; i < 64 && !m_transport.transfers[0].isCancelled; ++i) {
            m_transport.transfers[0].data(200, piece);
        }
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }

    void endlessEventIsBrokenOff()
    {
        startStream();
        const std::string piece(1U << 16U, 'x');
        for (int i = 0; i < 64 && !m_transport.transfers[0].isCancelled; ++i) {
            m_transport.transfers[0].data(200, piece);
        }
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(event(0), m_exchange->body);
    }

    void lostAnswerIsNeitherRepeatedNorCalledNotRun()
    {
        startUnsafe();
        end(0, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
        m_scheduler.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        CPPUNIT_ASSERT(m_exchange->headers.empty());
        CPPUNIT_ASSERT(m_exchange->body.find("did not run") == std::string::npos);
    }

    // A replica's second copy of an earlier answer arrives where the answer to this request is expected.
    void answerOfAnotherRequestIsNotForwarded()
    {
        startUnsafe();
        answerHead(0, 200, {{"Attempt", "caller-0"}});
        m_transport.transfers[0].data(200, "another caller's seat");
        end(0, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        CPPUNIT_ASSERT(m_exchange->body.find("seat") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }

    void requestThatDidNotRunIsSentAgain()
    {
        startUnsafe();
        answerHead(0, 503, {{"Attempt", "caller-1"}, {"Not-Run", "1"}});
        end(0, {.status = 503});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        CPPUNIT_ASSERT(m_transport.transfers[0].request.url != m_transport.transfers[1].request.url);
        end(1, {.error = "Couldn't connect to server", .mayHaveBeenSent = false});
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
    }

    // Requests were refused beside free replicas, because attempts at a crashed one had used up the retry budget.
    void refusedConnectionCostsNoRetry()
    {
        m_budget.setOptions({.ratio = 0, .extra = 0});
        startUnsafe();
        end(0, {.error = "Couldn't connect to server", .mayHaveBeenSent = false});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        answerHead(1, 503, {{"Attempt", "caller-1"}, {"Not-Run", "1"}});
        end(1, {.status = 503});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
    }

    void workEndsWhenCallerLeaves()
    {
        startStream();
        m_exchange->callerLeaves();
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        m_scheduler.advance(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }

    // Requests that were open at the end of a planned stop were cut off with no answer.
    void requestAtTheEndOfAStopGetsAnAnswer()
    {
        startUnsafe();
        m_forwarded->stop();
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(504U, m_exchange->status);
        CPPUNIT_ASSERT(m_exchange->body.find("did not run") == std::string::npos);

        m_exchange = std::make_shared<FakeExchange>();
        start({.kind = Routes::RequestKind::Stream, .timeout = 15s, .objective = 1s, .maxAttempts = 1},
              {.model = "m", .adapter = "not-loaded"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
        m_forwarded->stop();
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
        CPPUNIT_ASSERT(m_exchange->body.find("did not run") != std::string::npos);
        reply(0, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());

        m_exchange = std::make_shared<FakeExchange>();
        startUnsafe(2);
        answerHead(1, 200, {{"Attempt", "caller-1"}, {"Framed", "yes"}});
        end(1, {.status = 200});
        m_forwarded->stop();
        CPPUNIT_ASSERT_EQUAL(200U, m_exchange->status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedRequestTest);
