#include <LibEngine/HttpEngineLink.h>
#include <LibNet/HttpServer.h>
#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace {

std::uint16_t freePort()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(probe, reinterpret_cast<sockaddr *>(&address), size);
    getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

}

class HttpEngineLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpEngineLinkTest);
    CPPUNIT_TEST(stalledStreamThatSendsBytesIsEnded);
    CPPUNIT_TEST(slowStreamIsNotCut);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto IdleTimeout = 300ms;
    static constexpr auto ObservedTime = 1500ms;

    // Runs a stream whose engine sends the text every 100 ms. Returns its failure, if it fails in the observed time.
    static std::optional<Engine::StreamFailure> run(const std::string &text)
    {
        const auto port = freePort();
        Net::EventLoop loop;
        std::shared_ptr<Net::Exchange> stream;
        std::function<void()> sendMore = [&] {
            stream->send(text);
            loop.runAfter(100ms, sendMore);
        };
        Net::HttpServer engine(loop, {.port = port}, [&](const auto &exchange) {
            stream = exchange;
            stream->beginStream({});
            sendMore();
        });
        Net::HttpClient client(loop);
        Engine::HttpEngineLink link(client, {.idleTimeout = IdleTimeout});
        std::optional<Engine::StreamFailure> failure;
        link.generate({.target = {"e1"}, .address = "127.0.0.1:" + std::to_string(port)}, {.attempt = {"1"}},
                      [&](const Engine::StreamEvent &event) {
                          if (const auto *failed = std::get_if<Engine::StreamFailure>(&event)) {
                              failure = *failed;
                          }
                      });
        loop.runAfter(ObservedTime, [&] {
            loop.stop();
        });
        loop.run();
        return failure;
    }

    void stalledStreamThatSendsBytesIsEnded()
    {
        const auto failure = run(" ");
        CPPUNIT_ASSERT(failure.has_value());
        CPPUNIT_ASSERT(failure->isIdleTimeout);
    }

    void slowStreamIsNotCut()
    {
        CPPUNIT_ASSERT(!run(R"({"attempt":"1","index":0,"text":"a"})"
                            "\n")
                            .has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpEngineLinkTest);
