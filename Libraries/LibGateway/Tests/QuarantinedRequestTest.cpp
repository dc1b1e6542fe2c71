#include <LibGateway/Tests/ForwardingFixture.h>

using namespace std::chrono_literals;

using namespace Gateway::Testing;

class QuarantinedRequestTest : public ForwardingFixture
{
    CPPUNIT_TEST_SUITE(QuarantinedRequestTest);
    CPPUNIT_TEST(requestWithDeadlyPartIsRefusedAtOnce);
    CPPUNIT_TEST(requestIsNotRepeatedOnceItsPartIsRefused);
    CPPUNIT_TEST(silentRequestIsNotMovedOnceItsPartIsRefused);
    CPPUNIT_TEST(onlyBeginningAnswerIsSuspected);
    CPPUNIT_TEST_SUITE_END();

    const std::vector<std::uint64_t> m_parts {1, 2};

    void startPrompt()
    {
        start({.kind = Routes::RequestKind::Stream,
               .isResumable = true,
               .timeout = 15s,
               .objective = 1s,
               .maxAttempts = 2},
              {.model = "m", .promptParts = m_parts});
    }

    void recordCrash(const std::string &replica)
    {
        m_quarantine.recordDeath(m_parts, {.target = {replica}, .incarnation = "1"});
    }

    // Requests of one kind reached one replica after the other and crashed each.
    void requestWithDeadlyPartIsRefusedAtOnce()
    {
        recordCrash("r8");
        recordCrash("r9");
        startPrompt();
        CPPUNIT_ASSERT(m_transport.transfers.empty() && m_loads.empty());
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
        CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), m_exchange->headers.at(0).first);
    }

    // The retry of a request that had crashed a replica crashed the next one.
    void requestIsNotRepeatedOnceItsPartIsRefused()
    {
        startPrompt();
        recordCrash("r8");
        recordCrash("r9");
        end(0, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
    }

    // A request that waited at a crowded replica was moved to the next one after its part had been convicted.
    void silentRequestIsNotMovedOnceItsPartIsRefused()
    {
        startPrompt();
        recordCrash("r8");
        recordCrash("r9");
        m_scheduler.advance(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
    }

    // A crash ends up to 64 streams, and those that were long under way were taken for its cause.
    void onlyBeginningAnswerIsSuspected()
    {
        for (const bool isBeginning : {false, true}) {
            m_exchange = std::make_shared<FakeExchange>();
            startPrompt();
            const auto transfer = m_transport.transfers.size() - 1;
            answerHead(transfer, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
            for (int id = 0; id < 3 && !isBeginning; ++id) {
                m_transport.transfers[transfer].data(200, event(id));
                m_scheduler.advance(150ms);
            }
            end(transfer, {.error = "Transferred a partial file", .mayHaveBeenSent = true});
            m_exchange->callerLeaves();
            m_scheduler.advance(200ms);
            CPPUNIT_ASSERT(m_quarantine.suspicionOf(m_parts)
                           == (isBeginning ? Routing::Suspicion::Suspect : Routing::Suspicion::None));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantinedRequestTest);
