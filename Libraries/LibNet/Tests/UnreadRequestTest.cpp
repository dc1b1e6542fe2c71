#include <LibNet/HttpClient.h>
#include <LibNet/Tests/LoopbackServer.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// What a client does with a request body that its server reads slowly or not at all.
class UnreadRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadRequestTest);
    CPPUNIT_TEST(unreadBodyEndsInBoundedTimeWithoutACopy);
    CPPUNIT_TEST(slowlyReadBodyEndsAtTheTotalTimeout);
    CPPUNIT_TEST_SUITE_END();

    // More than the kernel buffers of a connection on loopback.
    static constexpr std::size_t BodyBytes = 24U << 20U;

    // Sends a body to a server that reads a piece of so many bytes every 20 ms. Returns the time until the request
    // ends.
    static Core::Duration timeToEnd(std::size_t pieceBytes, Core::Duration totalTimeout, Net::HttpResult &result)
    {
        std::atomic<bool> isDone = false;
        Net::LoopbackServer server([&](int connection) {
            std::string buffer(std::max<std::size_t>(pieceBytes, 1), ' ');
            while (!isDone) {
                std::this_thread::sleep_for(20ms);
                if (pieceBytes > 0) {
                    recv(connection, buffer.data(), buffer.size(), MSG_DONTWAIT);
                }
            }
        });
        Net::EventLoop loop;
        Net::BufferBudget budget(1U << 20U);
        Net::HttpClient client(loop, &budget);
        const Net::SharedBytes body(std::string(BodyBytes, 'x'));
        const auto startedAt = loop.now();
        client.start({.method = "POST", .url = server.url(), .body = body, .totalTimeout = totalTimeout},
                     [&](const Net::HttpResult &done) {
                         result = done;
                         isDone = true;
                         loop.stop();
                     });
        loop.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.used());
        return loop.now() - startedAt;
    }

    // Guards against a server that reads nothing holding the body of a request without a timeout for ever.
    void unreadBodyEndsInBoundedTimeWithoutACopy()
    {
        Net::HttpResult result;
        const auto time = timeToEnd(0, 0s, result);
        CPPUNIT_ASSERT(!result.isComplete());
        CPPUNIT_ASSERT(result.mayHaveBeenSent);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Core::toMilliseconds(time)), time >= 2s && time < 10s);
    }

    // Guards against a server that reads a little now and then holding the body beyond the time of the request.
    void slowlyReadBodyEndsAtTheTotalTimeout()
    {
        Net::HttpResult result;
        const auto time = timeToEnd(10000, 1s, result);
        CPPUNIT_ASSERT(result.isTimedOut);
        CPPUNIT_ASSERT(time >= 950ms && time < 3s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadRequestTest);
