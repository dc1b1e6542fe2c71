#include <LibNet/HttpClient.h>
#include <LibNet/Tests/LoopbackServer.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <ctime>

using namespace std::chrono_literals;

namespace {

// More than the kernel buffers of a connection on loopback.
constexpr std::size_t LargeBytes = 24U << 20U;

std::string lettersOf(std::size_t count)
{
    std::string letters(count, 'a');
    for (std::size_t i = 0; i < count; ++i) {
        letters[i] = static_cast<char>('a' + i % 23);
    }
    return letters;
}

void receiveHead(int connection)
{
    char buffer[4096];
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
        const auto count = recv(connection, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return;
        }
        head.append(buffer, static_cast<std::size_t>(count));
    }
}

std::string headOf(std::size_t bodyBytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

}

// What a client does with a response that is paused while it arrives.
class PausedTransferTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PausedTransferTest);
    CPPUNIT_TEST(pausedResponseWaitsAtItsServer);
    CPPUNIT_TEST(totalTimeoutRunsOnAfterThePause);
    CPPUNIT_TEST(idleTimeoutRunsOnAfterThePause);
    CPPUNIT_TEST(responsePausedAtEveryPieceArrivesWhole);
    CPPUNIT_TEST(resumedDataMayStartAndCancelRequests);
    CPPUNIT_TEST(breakDuringThePauseIsFoundWithoutSpinning);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a paused response being read on into memory, against a pause that ends the request by one of its
    // timeouts, and against bytes that are lost or delivered twice by the pause.
    void pausedResponseWaitsAtItsServer()
    {
        const auto body = lettersOf(LargeBytes);
        std::atomic<std::size_t> sent = 0;
        Net::LoopbackServer server([&](int connection) {
            receiveHead(connection);
            Net::writeText(connection, headOf(body.size()));
            while (sent < body.size() && Net::writeText(connection, std::string_view(body).substr(sent, 65536))) {
                sent += std::min<std::size_t>(65536, body.size() - sent);
            }
        });
        Net::EventLoop loop;
        Net::BufferBudget budget(1U << 20U);
        Net::HttpClient client(loop, &budget);
        auto id = Net::HttpRequestId::None;
        std::string received;
        Net::HttpResult result;
        std::size_t receivedBeforeResume = 0;
        std::size_t sentBeforeResume = 0;
        std::size_t held = 0;
        id = client.start(
            {.url = server.url(), .totalTimeout = 1500ms, .idleTimeout = 500ms},
            [&](const Net::HttpResult &done) {
                result = done;
                loop.stop();
            },
            [&](long /*status*/, std::string_view data) {
                if (received.empty()) {
                    client.pause(id);
                    receivedBeforeResume = data.size();
                }
                received += data;
            });
        loop.runAfter(1600ms, [&] {
            CPPUNIT_ASSERT_EQUAL(receivedBeforeResume, received.size());
            sentBeforeResume = sent;
            held = budget.used();
            client.resume(id);
        });
        loop.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), result.error);
        CPPUNIT_ASSERT(received == body);
        CPPUNIT_ASSERT(sentBeforeResume < LargeBytes);
        CPPUNIT_ASSERT(held > 0 && held <= 32 * 1024);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.used());
    }

    // Runs a request to a server that sends a part of its response and nothing more. It is paused for 300 ms at that
    // part. Returns the time until its end.
    static Core::Duration timeToEnd(Net::HttpRequest request, Net::HttpResult &result)
    {
        std::atomic<bool> isDone = false;
        Net::LoopbackServer server([&](int connection) {
            receiveHead(connection);
            Net::writeText(connection, headOf(100) + "part");
            while (!isDone) {
                std::this_thread::sleep_for(5ms);
            }
        });
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        const auto startedAt = loop.now();
        auto id = Net::HttpRequestId::None;
        request.url = server.url();
        id = client.start(
            std::move(request),
            [&](const Net::HttpResult &done) {
                result = done;
                isDone = true;
                loop.stop();
            },
            [&](long /*status*/, std::string_view /*data*/) {
                client.pause(id);
                loop.runAfter(300ms, [&] {
                    client.resume(id);
                });
            });
        loop.run();
        return loop.now() - startedAt;
    }

    // Guards against a request without any limit after a pause.
    void totalTimeoutRunsOnAfterThePause()
    {
        Net::HttpResult result;
        const auto time = timeToEnd({.totalTimeout = 250ms}, result);
        CPPUNIT_ASSERT(result.isTimedOut);
        CPPUNIT_ASSERT(time >= 540ms);
        CPPUNIT_ASSERT(time < 2s);
    }

    void idleTimeoutRunsOnAfterThePause()
    {
        Net::HttpResult result;
        const auto time = timeToEnd({.idleTimeout = 200ms}, result);
        CPPUNIT_ASSERT(result.isTimedOut);
        CPPUNIT_ASSERT(time >= 490ms);
        CPPUNIT_ASSERT(time < 2s);
    }

    // Guards against data that curl delivers while it resumes being lost, repeated or delivered during the next pause.
    void responsePausedAtEveryPieceArrivesWhole()
    {
        const auto body = lettersOf(100000);
        Net::LoopbackServer server([&](int connection) {
            receiveHead(connection);
            std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            for (std::size_t at = 0; at < body.size(); at += 250) {
                text += "fa\r\n" + body.substr(at, 250) + "\r\n";
            }
            Net::writeText(connection, text + "0\r\n\r\n");
        });
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        auto id = Net::HttpRequestId::None;
        std::string received;
        Net::HttpResult result;
        bool isPaused = false;
        int deliveriesDuringPause = 0;
        id = client.start(
            {.url = server.url(), .totalTimeout = 10s},
            [&](const Net::HttpResult &done) {
                result = done;
                loop.stop();
            },
            [&](long /*status*/, std::string_view data) {
                deliveriesDuringPause += isPaused ? 1 : 0;
                received += data;
                client.pause(id);
                isPaused = true;
                loop.post([&] {
                    isPaused = false;
                    client.resume(id);
                });
            });
        loop.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), result.error);
        CPPUNIT_ASSERT(received == body);
        CPPUNIT_ASSERT_EQUAL(0, deliveriesDuringPause);
    }

    // Guards against requests that are started or cancelled while curl delivers what it has kept: curl adds no transfer
    // then, and the transfer must not be released inside its own function.
    void resumedDataMayStartAndCancelRequests()
    {
        Net::LoopbackServer server([](int connection) {
            receiveHead(connection);
            Net::writeText(connection, headOf(100000) + lettersOf(100000));
        });
        Net::EventLoop loop;
        Net::BufferBudget budget(1U << 20U);
        Net::HttpClient client(loop, &budget);
        auto id = Net::HttpRequestId::None;
        int pieces = 0;
        Net::HttpResult second;
        id = client.start(
            {.url = server.url(), .totalTimeout = 5s},
            [](const Net::HttpResult &) {
                CPPUNIT_FAIL("the cancelled request has ended");
            },
            [&](long /*status*/, std::string_view /*data*/) {
                if (++pieces == 1) {
                    client.pause(id);
                    loop.runAfter(100ms, [&] {
                        client.resume(id);
                    });
                    return;
                }
                client.cancel(id);
                client.start({.url = server.url(), .totalTimeout = 5s}, [&](const Net::HttpResult &done) {
                    second = done;
                    loop.stop();
                });
            });
        loop.run();
        CPPUNIT_ASSERT_EQUAL(2, pieces);
        CPPUNIT_ASSERT_EQUAL(std::string(), second.error);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100000), second.body.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.used());
    }

    // Guards against a server that resets its connection during a pause keeping the event loop busy.
    void breakDuringThePauseIsFoundWithoutSpinning()
    {
        Net::LoopbackServer server([](int connection) {
            receiveHead(connection);
            Net::writeText(connection, headOf(200000) + lettersOf(100000));
            std::this_thread::sleep_for(50ms);
            const linger abort {.l_onoff = 1, .l_linger = 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        });
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        auto id = Net::HttpRequestId::None;
        Net::HttpResult result;
        std::clock_t busy = 0;
        bool isPaused = false;
        id = client.start(
            {.url = server.url(), .totalTimeout = 5s},
            [&](const Net::HttpResult &done) {
                result = done;
                loop.stop();
            },
            [&](long /*status*/, std::string_view /*data*/) {
                if (!isPaused) {
                    isPaused = true;
                    client.pause(id);
                    busy = std::clock();
                    loop.runAfter(600ms, [&] {
                        busy = std::clock() - busy;
                        client.resume(id);
                    });
                }
            });
        loop.run();
        CPPUNIT_ASSERT(!result.isComplete());
        CPPUNIT_ASSERT(!result.isTimedOut);
        CPPUNIT_ASSERT(busy < CLOCKS_PER_SEC / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausedTransferTest);
