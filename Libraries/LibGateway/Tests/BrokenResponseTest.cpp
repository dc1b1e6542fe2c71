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
    CPPUNIT_TEST(wholeStreamWithoutEventsIsPassedOn);
    CPPUNIT_TEST(unframedContinuationWithoutEventsIsNotComplete);
    CPPUNIT_TEST(errorAfterTheBeginOfAStreamStaysOutOfIt);
    CPPUNIT_TEST(begunStreamOutlivesRejections);
    CPPUNIT_TEST(refusalOfAnotherRequestPromisesNothing);
    CPPUNIT_TEST(refusalThatDoesNotSayNotRunPromisesNothing);
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

    // Guards against a whole response without events, as to a HEAD request, being retried and answered 502.
    void wholeStreamWithoutEventsIsPassedOn()
    {
        for (const std::string method : {"GET", "HEAD"}) {
            m_exchange = std::make_shared<FakeExchange>();
            start({.kind = Routes::RequestKind::Stream, .timeout = 15s, .maxAttempts = 2}, {.method = method});
            const auto transfer = m_transport.transfers.size() - 1;
            auto fields = m_streamFields;
            fields.emplace_back("Framed", method == "GET" ? "yes" : "");
            answerHead(transfer, 200, fields);
            end(transfer, {.status = 200});
            CPPUNIT_ASSERT_EQUAL(200U, m_exchange->status);
        }
    }

    // Guards against a stream ending as complete when the replica that continues it closes before its first event.
    void unframedContinuationWithoutEventsIsNotComplete()
    {
        for (const bool isFramed : {false, true}) {
            startAnswered(true, event(0));
            end(0, {.error = "reset"});
            auto fields = m_streamFields;
            fields.emplace_back("Framed", isFramed ? "yes" : "");
            answerHead(1, 200, fields);
            end(1, {.status = 200});
            CPPUNIT_ASSERT(m_exchange->isEnded);
            CPPUNIT_ASSERT_EQUAL(!isFramed, m_exchange->isAborted);
        }
    }

    // Guards against an error of the replica that continues a stream reaching the caller or ending the stream.
    void errorAfterTheBeginOfAStreamStaysOutOfIt()
    {
        const std::pair<std::string, std::string> own {"Attempt", "caller-1"};
        const std::pair<std::string, std::string> notRun {"Not-Run", "1"};
        const std::vector<std::pair<long, Net::HttpFields>> cases {{200, {own}},
                                                                   {200, {{"Attempt", "caller-0"}, {"Stream", "yes"}}},
                                                                   {206, {own, {"Stream", "yes"}}},
                                                                   {400, {own}},
                                                                   {400, {own, notRun}},
                                                                   {421, {own, notRun}},
                                                                   {429, {own}},
                                                                   {429, {own, notRun}},
                                                                   {500, {own}},
                                                                   {500, {own, {"Stream", "yes"}}},
                                                                   {503, {own}},
                                                                   {503, {own, notRun}},
                                                                   {504, {own}}};
        for (const auto &[status, fields] : cases) {
            startAnswered(true, event(0));
            end(0, {.error = "reset"});
            // All further replicas answer in the same way.
            for (std::size_t i = 1; i < m_transport.transfers.size(); ++i) {
                answerHead(i, status, fields);
                m_transport.transfers.at(i).data(status, "error");
                end(i, {.status = status});
            }
            m_scheduler.advance(20s);
            CPPUNIT_ASSERT(m_transport.transfers.size() > 1);
            assertAborted(event(0));
        }
    }

    // Guards against a begun stream being cut, with most of its time left, because four attempts were turned away.
    void begunStreamOutlivesRejections()
    {
        for (const bool isMoved : {false, true}) {
            for (const long status : {0L, 429L, 503L}) {
                startAnswered(true, event(0));
                m_scheduler.advance(isMoved ? 1300ms : 0ms);
                if (!isMoved) {
                    end(0, {.error = "reset"});
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
                std::size_t answered = 1;
                for (auto passed = 0ms; passed < 5s; passed += 50ms) {
                    while (answered < m_transport.transfers.size()) {
                        if (status != 0) {
                            answerHead(answered, status, {{"Attempt", "caller-1"}, {"Not-Run", "1"}});
                        }
                        end(answered++,
                            status == 0 ? Net::HttpResult {.error = "no route", .mayHaveBeenSent = false}
                                        : Net::HttpResult {.status = status});
                    }
                    m_scheduler.advance(50ms);
                    CPPUNIT_ASSERT(!m_exchange->isEnded);
                }
                CPPUNIT_ASSERT(answered > 4);
            }
        }
    }

    // Guards against the refusal of another request being taken for a promise that this one has not run.
    void refusalOfAnotherRequestPromisesNothing()
    {
        for (const long status : {400L, 421L, 429L, 503L}) {
            m_scheduler.advance(60s);
            m_transport.transfers.clear();
            m_exchange = std::make_shared<FakeExchange>();
            startUnsafe();
            answerHead(0, status, {{"Attempt", "caller-0"}, {"Not-Run", "1"}});
            end(0, {.status = status});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
            CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        }
    }

    // Guards against a replica's 503 for a request that it ran reaching the caller, who takes it for "not run".
    void refusalThatDoesNotSayNotRunPromisesNothing()
    {
        for (const bool isIdempotent : {false, true}) {
            m_exchange = std::make_shared<FakeExchange>();
            start({.kind = isIdempotent ? Routes::RequestKind::Safe : Routes::RequestKind::Unsafe,
                   .timeout = 5s,
                   .objective = 300ms,
                   .maxAttempts = 1},
                  {});
            const auto transfer = m_transport.transfers.size() - 1;
            answerHead(transfer, 503, {{"Attempt", "caller-1"}});
            end(transfer, {.status = 503});
            CPPUNIT_ASSERT_EQUAL(isIdempotent ? 503U : 502U, m_exchange->status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenResponseTest);
