#include <LibGateway/Tests/ForwardingFixture.h>

using namespace std::chrono_literals;

using namespace Gateway::Testing;

// What callers receive if a replica's response breaks off or isn't the response to their request.
class BrokenResponseTest : public ForwardingFixture
{
    CPPUNIT_TEST_SUITE(BrokenResponseTest);
    CPPUNIT_TEST(headOfEarlierAttemptIsNotTrusted);
    CPPUNIT_TEST(streamThatEndsInsideAnEventIsNotComplete);
    CPPUNIT_TEST(streamThatEndsBeforeItsFirstEventIsNotComplete);
    CPPUNIT_TEST_SUITE_END();

    const Net::HttpFields m_streamFields {{"Attempt", "caller-1"}, {"Stream", "yes"}};

    // A new request for the base model, whose first response is a stream that has sent the bytes.
    void startAnswered(bool isResumable, std::string_view bytes)
    {
        m_scheduler.advance(60s);
        m_transport.transfers.clear();
        m_exchange = std::make_shared<FakeExchange>();
        start({.kind = Routes::RequestKind::Stream, .isResumable = isResumable, .timeout = 15s, .maxAttempts = 2}, {});
        answerHead(0, 200, m_streamFields);
        if (!bytes.empty()) {
            m_transport.transfers.at(0).data(200, bytes);
        }
    }

    void assertAborted(const std::string &body) const
    {
        CPPUNIT_ASSERT_EQUAL(body, m_exchange->body);
        CPPUNIT_ASSERT(m_exchange->isEnded);
        CPPUNIT_ASSERT(m_exchange->isAborted);
    }

    // Guards against the status of an earlier attempt being taken for that of one whose response has no head.
    void headOfEarlierAttemptIsNotTrusted()
    {
        startUnsafe();
        answerHead(0, 503, {{"Attempt", "caller-1"}, {"Not-Run", "1"}});
        end(0, {.status = 503});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        end(1, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);

        startAnswered(true, event(0));
        end(0, {.error = "reset"});
        end(1, {.status = 200});
        assertAborted(event(0));
    }

    // Guards against a stream that broke off inside an event being passed on as complete.
    void streamThatEndsInsideAnEventIsNotComplete()
    {
        startAnswered(false, event(0) + "id: 1\nda");
        end(0, {.status = 200});
        assertAborted(event(0));

        startAnswered(true, event(0) + "id: 1\nda");
        end(0, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(std::string("after 0"), m_transport.transfers.at(1).request.headers.back());
        answerHead(1, 200, m_streamFields);
        m_transport.transfers.at(1).data(200, event(1) + "\n");
        end(1, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(event(0) + event(1) + "\n", m_exchange->body);
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
    }

    // Guards against a stream that broke off before its first event being passed on as a complete, empty response.
    void streamThatEndsBeforeItsFirstEventIsNotComplete()
    {
        for (const auto *bytes : {"", "id: 0\nda"}) {
            startAnswered(false, bytes);
            end(0, {.status = 200});
            CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
            startAnswered(true, bytes);
            end(0, {.status = 200});
            CPPUNIT_ASSERT(!m_exchange->isEnded);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenResponseTest);
