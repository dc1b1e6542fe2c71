#include <LibNet/HttpClient.h>
#include <LibNet/Tests/LoopbackServer.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

enum class CloseMode { Graceful, Reset };

bool readRequest(int connection)
{
    std::string text;
    char buffer[4096];
    while (text.find("\r\n\r\n") == std::string::npos
           || (text.find("Content-Length: 4") != std::string::npos && !text.ends_with("body"))) {
        const auto count = read(connection, buffer, sizeof buffer);
        if (count <= 0) {
            return false;
        }
        text.append(buffer, static_cast<std::size_t>(count));
    }
    return true;
}

void resetWhenClosed(int connection)
{
    const linger abort {.l_onoff = 1, .l_linger = 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

}

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(requestWithBodyIsNotRetriedOnNewConnection);
    CPPUNIT_TEST(requestWithoutBodyIsNotRetriedOnNewConnection);
    CPPUNIT_TEST(lateSecondCopyOfResponseReachesNoOtherRequest);
    CPPUNIT_TEST(requestThatIsNoLongerPermittedIsNotSent);
    CPPUNIT_TEST(endlessHeadIsBrokenOff);
    CPPUNIT_TEST(endlessInterimHeadsAreBrokenOff);
    CPPUNIT_TEST(endlessBodyIsBrokenOff);
    CPPUNIT_TEST(requestStartedWhileAnotherIsReceivedIsSent);
    CPPUNIT_TEST(responseCutInItsHeadIsAnError);
    CPPUNIT_TEST(unframedResponseIsWholeOnlyIfItsConnectionEndsInOrder);
    CPPUNIT_TEST_SUITE_END();

    // Sends two requests in sequence and returns how many the server received. A third one would be a retry by curl.
    static int sendTwoRequests(CloseMode closeMode, const std::string &body)
    {
        // Responds to the first request on a connection, and closes it without a response after reading the second.
        // curl retries a request by default when a reused connection is closed in this way.
        std::atomic<int> receivedRequests = 0;
        Net::LoopbackServer server([&receivedRequests, closeMode](int connection) {
            if (readRequest(connection)) {
                ++receivedRequests;
                Net::writeText(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                receivedRequests += readRequest(connection) ? 1 : 0;
            }
            if (closeMode == CloseMode::Reset) {
                resetWhenClosed(connection);
            }
        });
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        const Net::HttpRequest request {.method = "POST",
                                        .url = server.url(),
                                        .body = body,
                                        .totalTimeout = 2s,
                                        .connectionUse = Net::ConnectionUse::Reuse};
        client.start(request, [&](const Net::HttpResult &first) {
            CPPUNIT_ASSERT(first.isComplete());
            client.start(request, [&](const Net::HttpResult &) {
                loop.stop();
            });
        });
        loop.run();
        return receivedRequests;
    }

    void requestWithBodyIsNotRetriedOnNewConnection()
    {
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Graceful, "body"));
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Reset, "body"));
    }

    void requestWithoutBodyIsNotRetriedOnNewConnection()
    {
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Graceful, ""));
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Reset, ""));
    }

    void lateSecondCopyOfResponseReachesNoOtherRequest()
    {
        // Answers the first request of a connection twice, the second time when the next request has arrived.
        std::atomic<int> connections = 0;
        Net::LoopbackServer server([&connections](int connection) {
            const auto name = std::string("answer ") + std::to_string(++connections);
            const auto response = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + name;
            if (readRequest(connection) && Net::writeText(connection, response) && readRequest(connection)) {
                Net::writeText(connection, response);
            }
        });
        for (const std::string method : {"GET", "POST"}) {
            connections = 0;
            Net::EventLoop loop;
            Net::HttpClient client(loop);
            const Net::HttpRequest request {
                .method = method, .url = server.url(), .body = method == "POST" ? "body" : "", .totalTimeout = 2s};
            client.start(request, [&](const Net::HttpResult &first) {
                CPPUNIT_ASSERT_EQUAL(std::string("answer 1"), first.body);
                client.start(request, [&](const Net::HttpResult &second) {
                    CPPUNIT_ASSERT_EQUAL(std::string("answer 2"), second.body);
                    loop.stop();
                });
            });
            loop.run();
        }
    }

    void requestThatIsNoLongerPermittedIsNotSent()
    {
        std::atomic<int> receivedRequests = 0;
        Net::LoopbackServer server([&receivedRequests](int connection) {
            receivedRequests += readRequest(connection) ? 1 : 0;
        });
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        bool isPermitted = true;
        client.start({.method = "POST",
                      .url = server.url(),
                      .body = "body",
                      .totalTimeout = 2s,
                      .isStillPermitted =
                          [&] {
                              return isPermitted;
                          }},
                     [&](const Net::HttpResult &result) {
                         CPPUNIT_ASSERT(!result.isComplete());
                         CPPUNIT_ASSERT(!result.mayHaveBeenSent);
                         CPPUNIT_ASSERT_EQUAL(std::string("the request is no longer permitted"), result.error);
                         loop.stop();
                     });
        // The permission ends after the request was started and before the connection is established.
        isPermitted = false;
        loop.run();
        CPPUNIT_ASSERT_EQUAL(0, receivedRequests.load());
    }

    // Sends a request to a server that repeats a text until the client closes the connection, and returns how much the
    // server has sent. The request must fail with the given error.
    static std::size_t receiveWithoutEnd(const std::string &head, const std::string &repeated, const std::string &error)
    {
        constexpr std::size_t MaxSentBytes = 512U << 20U;
        std::atomic<std::size_t> sentBytes = 0;
        Net::LoopbackServer server([&](int connection) {
            if (readRequest(connection) && Net::writeText(connection, head)) {
                while (sentBytes < MaxSentBytes && Net::writeText(connection, repeated)) {
                    sentBytes += repeated.size();
                }
            }
        });
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        client.start({.url = server.url(), .totalTimeout = 20s}, [&](const Net::HttpResult &result) {
            CPPUNIT_ASSERT(!result.isComplete());
            CPPUNIT_ASSERT(!result.isTimedOut);
            CPPUNIT_ASSERT_EQUAL(error, result.error);
            CPPUNIT_ASSERT(result.mayHaveBeenSent);
            loop.stop();
        });
        loop.run();
        return sentBytes;
    }

    // Sends a request to a server that writes the text and closes the connection.
    static Net::HttpResult receive(const std::string &text, CloseMode closeMode = CloseMode::Graceful)
    {
        Net::LoopbackServer server([&text, closeMode](int connection) {
            if (readRequest(connection)) {
                Net::writeText(connection, text);
            }
            if (closeMode == CloseMode::Reset) {
                resetWhenClosed(connection);
            }
        });
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        Net::HttpResult received;
        std::string body;
        client.start(
            {.method = "POST", .url = server.url(), .body = "body", .totalTimeout = 2s},
            [&](Net::HttpResult result) {
                received = std::move(result);
                loop.stop();
            },
            [&body](long /*status*/, std::string_view bytes) {
                body += bytes;
            });
        loop.run();
        received.body = body;
        return received;
    }

    // The socket buffers of both ends, beyond what the client has read.
    static constexpr std::size_t BufferedBytes = 16U << 20U;

    void endlessHeadIsBrokenOff()
    {
        const auto sent = receiveWithoutEnd("HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(1000, 'x') + "\r\n",
                                            "the head of the response is too large");
        CPPUNIT_ASSERT(sent < BufferedBytes + Net::DefaultMaxHeadBytes);
    }

    void endlessInterimHeadsAreBrokenOff()
    {
        const auto sent = receiveWithoutEnd("", "HTTP/1.1 102 Processing\r\nX-Filler: x\r\n\r\n",
                                            "the head of the response is too large");
        CPPUNIT_ASSERT(sent < BufferedBytes + Net::DefaultMaxHeadBytes);
    }

    void endlessBodyIsBrokenOff()
    {
        const auto sent = receiveWithoutEnd("HTTP/1.1 200 OK\r\n\r\n", std::string(64U << 10U, 'x'),
                                            "the body of the response is too large");
        CPPUNIT_ASSERT(sent < BufferedBytes + Net::DefaultMaxBodyBytes);
    }

    // Guards against a request that is started from a head or data function never being sent nor ending.
    void requestStartedWhileAnotherIsReceivedIsSent()
    {
        for (const bool isStartedByHead : {false, true}) {
            Net::LoopbackServer server([](int connection) {
                if (readRequest(connection)) {
                    Net::writeText(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
            Net::EventLoop loop;
            Net::HttpClient client(loop);
            long status = 0;
            const auto startSecond = [&] {
                client.start({.method = "POST", .url = server.url(), .body = "body"},
                             [&](const Net::HttpResult &result) {
                                 status = result.status;
                                 loop.stop();
                             });
            };
            client.start(
                {.method = "POST", .url = server.url(), .body = "body"}, [](const auto & /*result*/) {},
                [&](long /*status*/, std::string_view /*bytes*/) {
                    if (!isStartedByHead) {
                        startSecond();
                    }
                },
                [&](long /*status*/, const auto & /*fields*/) {
                    if (isStartedByHead) {
                        startSecond();
                    }
                });
            loop.runAfter(5s, [&loop] {
                loop.stop();
            });
            loop.run();
            CPPUNIT_ASSERT_EQUAL(200L, status);
        }
    }

    // Guards against a response that breaks off inside its head being taken for a whole response with an empty body.
    void responseCutInItsHeadIsAnError()
    {
        for (const std::string text :
             {"", "\r\n", "no head\r\n", "HTTP/1.1 20", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
              "HTTP/1.1 200 OK\r\nX-Fie", "HTTP/1.1 200 OK\r\nX-Field: 1", "HTTP/1.1 200 OK\r\nX-Field: 1\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r",
              "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n",
              "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
              "HTTP/1.1 101 Upgrade\r\n\r\n"}) {
            const auto result = receive(text);
            CPPUNIT_ASSERT_MESSAGE(text, !result.isComplete());
            CPPUNIT_ASSERT_EQUAL(0L, result.status);
            CPPUNIT_ASSERT(result.mayHaveBeenSent);
        }
    }

    // Guards against a response without a length being dropped, and against one that was reset being taken for whole.
    void unframedResponseIsWholeOnlyIfItsConnectionEndsInOrder()
    {
        for (const std::string type : {"text/plain", "text/event-stream"}) {
            const auto text = "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n\r\nid: 0\ndata: x\n\n";
            const auto whole = receive(text, CloseMode::Graceful);
            CPPUNIT_ASSERT_EQUAL(std::string(), whole.error);
            CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: x\n\n"), whole.body);
            CPPUNIT_ASSERT(!receive(text, CloseMode::Reset).isComplete());
        }
        for (const std::string framed :
             {"Content-Length: 5\r\n\r\nid", "Transfer-Encoding: chunked\r\n\r\n2\r\nid\r\n"}) {
            CPPUNIT_ASSERT_MESSAGE(framed, !receive("HTTP/1.1 200 OK\r\n" + framed).isComplete());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
