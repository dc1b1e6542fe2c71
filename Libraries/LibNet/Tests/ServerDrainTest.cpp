#include <LibCore/VirtualScheduler.h>
#include <LibNet/HttpServer.h>
#include <LibNet/ServerDrain.h>
#include <LibNet/Tests/Loopback.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

std::string readAvailable(int connection)
{
    std::string text;
    char buffer[1024];
    for (auto count = recv(connection, buffer, sizeof buffer, MSG_DONTWAIT); count > 0;
         count = recv(connection, buffer, sizeof buffer, MSG_DONTWAIT)) {
        text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
}

}

class ServerDrainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerDrainTest);
    CPPUNIT_TEST(drainEndsAfterQuietTime);
    CPPUNIT_TEST(drainAwaitsOpenExchanges);
    CPPUNIT_TEST(drainEndsAtItsLimit);
    CPPUNIT_TEST(requestOnAcceptedConnectionIsAnsweredDuringDrain);
    CPPUNIT_TEST_SUITE_END();

    // Drains a server whose exchanges are open from 50 ms for the given time. Returns when the drain ended.
    static Core::Duration drain(Core::Duration openTime, Core::Duration limit)
    {
        Core::VirtualScheduler scheduler;
        const auto start = scheduler.now();
        bool isListening = true;
        std::size_t open = 0;
        Net::ServerDrain drain(scheduler,
                               {.stopListening =
                                    [&] {
                                        isListening = false;
                                    },
                                .openExchanges =
                                    [&] {
                                        return open;
                                    }},
                               {});
        std::optional<Core::Duration> ended;
        drain.start(limit, [&] {
            ended = scheduler.now() - start;
        });
        CPPUNIT_ASSERT(!isListening);
        if (openTime > Core::Duration::zero()) {
            scheduler.runAfter(50ms, [&] {
                open = 1;
            });
            scheduler.runAfter(50ms + openTime, [&] {
                open = 0;
            });
        }
        scheduler.advance(10s);
        CPPUNIT_ASSERT(ended.has_value());
        return *ended;
    }

    void drainEndsAfterQuietTime()
    {
        const auto ended = drain({}, 5s);
        CPPUNIT_ASSERT(ended >= 100ms && ended <= 140ms);
    }

    void drainAwaitsOpenExchanges()
    {
        const auto ended = drain(2s, 5s);
        CPPUNIT_ASSERT(ended >= 2150ms && ended <= 2200ms);
    }

    void drainEndsAtItsLimit()
    {
        const auto ended = drain(8s, 1s);
        CPPUNIT_ASSERT(ended >= 1s && ended <= 1020ms);
    }

    void requestOnAcceptedConnectionIsAnsweredDuringDrain()
    {
        Net::EventLoop loop;
        Net::HttpServer server(loop, {}, [&](const auto &exchange) {
            // A response that takes a moment, so that the stop finds it open.
            loop.runAfter(30ms, [exchange] {
                exchange->respond({.status = 503}, "stopping");
            });
        });
        server.endKeepAlive();
        const int accepted = Net::connectTo(server.port());
        CPPUNIT_ASSERT(accepted >= 0);
        Net::ServerDrain drain(loop, Net::drainedServer(server), {});
        std::string response;
        bool isRefused = false;
        loop.runAfter(10ms, [&] {
            drain.start(2s, [&] {
                response = readAvailable(accepted);
                loop.stop();
            });
        });
        loop.runAfter(40ms, [&] {
            const std::string_view request = "GET / HTTP/1.1\r\nHost: test.example\r\n\r\n";
            CPPUNIT_ASSERT(send(accepted, request.data(), request.size(), MSG_NOSIGNAL)
                           == static_cast<ssize_t>(request.size()));
            const int late = Net::connectTo(server.port());
            isRefused = late < 0;
            if (late >= 0) {
                close(late);
            }
        });
        loop.run();
        close(accepted);
        CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(response.ends_with("stopping"));
        // A caller that comes later is refused at once and doesn't wait in the queue of a server that stops.
        CPPUNIT_ASSERT(isRefused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerDrainTest);
