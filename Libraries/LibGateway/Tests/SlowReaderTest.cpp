#include <LibGateway/Tests/ForwardingFixture.h>

using namespace std::chrono_literals;
using Gateway::Testing::event;

// A stream whose caller reads slowly. It is for an adapter that is in the memory of r1; r2 can load it.
class SlowReaderTest : public Gateway::Testing::ForwardingFixture
{
    CPPUNIT_TEST_SUITE(SlowReaderTest);
    CPPUNIT_TEST(slowCallerPausesTheReplicaUntilItHasCaughtUp);
    CPPUNIT_TEST(pauseIsNoSilenceOfTheReplica);
    CPPUNIT_TEST(silenceAfterThePauseMovesTheStream);
    CPPUNIT_TEST(pauseDoesNotCountTowardTheDeadline);
    CPPUNIT_TEST(unreadStreamContinuesElsewhereOnceItsCallerReads);
    CPPUNIT_TEST(breakFoundAfterThePauseIsNoFailureOfTheReplica);
    CPPUNIT_TEST(breakWithoutAPauseIsAFailureOfTheReplica);
    CPPUNIT_TEST(responseThatEndsDuringThePauseIsDelivered);
    CPPUNIT_TEST(callerThatLeavesDuringThePauseEndsTheTransfer);
    CPPUNIT_TEST(stoppingHostEndsAPausedStream);
    CPPUNIT_TEST_SUITE_END();

    void fallBehind()
    {
        m_exchange->changeReader(Net::ReaderState::Behind);
    }

    void catchUp()
    {
        m_exchange->changeReader(Net::ReaderState::CaughtUp);
    }

    [[nodiscard]] bool isPaused(std::size_t transfer) const
    {
        return m_transport.transfers.at(transfer).isPaused;
    }

    void breakOff(std::size_t transfer)
    {
        end(transfer, {.error = "connection reset", .mayHaveBeenSent = true});
    }

    // Guards against a response that fills the host, and against one that stops for good.
    void slowCallerPausesTheReplicaUntilItHasCaughtUp()
    {
        startStream();
        CPPUNIT_ASSERT(!isPaused(0));
        fallBehind();
        CPPUNIT_ASSERT(isPaused(0));
        m_scheduler.advance(3s);
        catchUp();
        CPPUNIT_ASSERT(!isPaused(0));
        m_transport.transfers[0].data(200, event(1));
        end(0, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(event(0) + event(1), m_exchange->body);
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_metrics.countOf("currantbay_response_pauses_total"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3000), m_metrics.countOf("currantbay_response_pause_milliseconds_total"));
    }

    // Guards against a paused response being asked for again at another replica.
    void pauseIsNoSilenceOfTheReplica()
    {
        startStream();
        m_scheduler.advance(1s);
        fallBehind();
        m_scheduler.advance(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT(m_loads.empty());
        catchUp();
        m_scheduler.advance(1100ms); // Less than the idle timeout of a stream.
        CPPUNIT_ASSERT(m_loads.empty());
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
    }

    // Guards against a replica that is silent after a pause keeping its stream for ever.
    void silenceAfterThePauseMovesTheStream()
    {
        startStream();
        fallBehind();
        m_scheduler.advance(5s);
        catchUp();
        m_scheduler.advance(1400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
        reply(0, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
    }

    // Guards against a response being broken off at its deadline, of 15 s, though its caller goes on reading, and
    // against a response without a deadline after a pause.
    void pauseDoesNotCountTowardTheDeadline()
    {
        startStream();
        m_scheduler.advance(1s);
        fallBehind();
        m_scheduler.advance(20s);
        CPPUNIT_ASSERT(!m_exchange->isEnded);
        catchUp();
        for (int i = 1; i <= 13; ++i) {
            m_scheduler.advance(1s);
            m_transport.transfers[0].data(200, event(i));
        }
        CPPUNIT_ASSERT(!m_exchange->isEnded);
        m_scheduler.advance(1100ms);
        CPPUNIT_ASSERT(m_exchange->isAborted);
    }

    // Guards against a replica running a response again that nobody reads yet, and against a stream that isn't
    // continued because its replica has cut it off.
    void unreadStreamContinuesElsewhereOnceItsCallerReads()
    {
        startStream();
        fallBehind();
        m_scheduler.advance(4s);
        breakOff(0);
        m_scheduler.advance(30s); // Beyond the deadline.
        CPPUNIT_ASSERT(m_loads.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT(!m_exchange->isEnded);
        catchUp();
        m_scheduler.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
        reply(0, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_transport.transfers[1].request.url);
        CPPUNIT_ASSERT_EQUAL(std::string("after 0"), m_transport.transfers[1].request.headers.at(1));
        answerHead(1, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
        m_transport.transfers[1].data(200, event(1));
        end(1, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(event(0) + event(1), m_exchange->body);
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_metrics.countOf("currantbay_unread_responses_cut_total"));
    }

    // What the outcomes of its requests say against r1.
    [[nodiscard]] Core::Duration penalty()
    {
        return m_fleet.health().penalty({"r1"}, m_scheduler.now());
    }

    // Breaks a number of streams of r1 off, each after the caller was behind for the time.
    void breakStreams(int count, Core::Duration unread)
    {
        for (int i = 0; i < count; ++i) {
            m_exchange = std::make_shared<Gateway::Testing::FakeExchange>();
            const auto transfer = m_transport.transfers.size();
            start({.kind = Routes::RequestKind::Stream, .timeout = 15s, .objective = 1s, .maxAttempts = 1},
                  {.model = "m", .adapter = "a1"});
            CPPUNIT_ASSERT_EQUAL(transfer + 1, m_transport.transfers.size());
            answerHead(transfer, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
            m_transport.transfers[transfer].data(200, event(0));
            m_scheduler.advance(400ms);
            if (unread > 0s) {
                fallBehind();
                m_scheduler.advance(unread);
                catchUp();
            }
            breakOff(transfer);
            CPPUNIT_ASSERT(m_exchange->isAborted);
        }
    }

    // Guards against a few slow callers taking a sound replica away from all others: it cuts their responses off, which
    // shows only once the rest has been read.
    void breakFoundAfterThePauseIsNoFailureOfTheReplica()
    {
        m_fleet.setResident({"r1"}, std::string(Gateway::Testing::Adapter), 1, m_scheduler.now());
        breakStreams(8, 3s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), m_metrics.countOf("currantbay_unread_responses_cut_total"));
        CPPUNIT_ASSERT(penalty() == 0ms);
    }

    // Guards against failures that are no longer recorded, also after a pause of no length.
    void breakWithoutAPauseIsAFailureOfTheReplica()
    {
        m_fleet.setResident({"r1"}, std::string(Gateway::Testing::Adapter), 1, m_scheduler.now());
        breakStreams(1, 50ms);
        CPPUNIT_ASSERT(penalty() > 0ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_metrics.countOf("currantbay_unread_responses_cut_total"));
    }

    void responseThatEndsDuringThePauseIsDelivered()
    {
        startStream();
        fallBehind();
        m_scheduler.advance(20s);
        end(0, {.status = 200});
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
        catchUp();
        m_scheduler.advance(60s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT(!m_exchange->isAborted);
    }

    // Guards against a replica that goes on working for a caller that has closed its connection unread.
    void callerThatLeavesDuringThePauseEndsTheTransfer()
    {
        startStream();
        fallBehind();
        m_scheduler.advance(2s);
        m_exchange->callerLeaves();
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        catchUp();
        m_scheduler.advance(60s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2000), m_metrics.countOf("currantbay_response_pause_milliseconds_total"));
    }

    // Guards against a host that doesn't stop because a caller reads slowly.
    void stoppingHostEndsAPausedStream()
    {
        startStream();
        fallBehind();
        m_forwarded->stop();
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT(m_exchange->isAborted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowReaderTest);
