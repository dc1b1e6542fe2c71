#include <LibEngine/HttpEngineLink.h>
#include <LibNet/HttpServer.h>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace std::chrono_literals;

class HttpEngineLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpEngineLinkTest);
    CPPUNIT_TEST(stalledStreamThatSendsBytesIsEnded);
    CPPUNIT_TEST(slowStreamIsNotCut);
    CPPUNIT_TEST(refusalOnReusedConnectionPromisesNothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto IdleTimeout = 300ms;
    static constexpr auto ObservedTime = 1500ms;

    // Runs a stream whose engine sends the text every 100 ms. Returns its failure, if it fails in the observed time.
    static std::optional<Engine::StreamFailure> run(const std::string &text)
    {
        Net::EventLoop loop;
        std::shared_ptr<Net::Exchange> stream;
        std::function<void()> sendMore = [&] {
            stream->send(text);
            loop.runAfter(100ms, sendMore);
        };
        Net::HttpServer engine(loop, {}, [&](const auto &exchange) {
            stream = exchange;
            stream->beginStream({});
            sendMore();
        });
        Net::HttpClient client(loop);
        Engine::HttpEngineLink link(client, {.idleTimeout = IdleTimeout});
        std::optional<Engine::StreamFailure> failure;
        link.generate({.target = {"e1"}, .address = "127.0.0.1:" + std::to_string(engine.port())}, {.attempt = {"1"}},
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

    // Guards against the refusal of an earlier stream being taken for a promise that this one has not run.
    void refusalOnReusedConnectionPromisesNothing()
    {
        using Connection = Engine::StreamConnection;
        Net::EventLoop loop;
        Net::HttpServer engine(loop, {}, [](const auto &exchange) {
            exchange->respond({.status = 503}, "full");
        });
        Net::HttpClient client(loop);
        Engine::HttpEngineLink link(client, {.idleTimeout = IdleTimeout});
        const auto generate = [&](Connection connection) {
            std::optional<Engine::StreamEvent> received;
            link.generate({.target = {"e1"}, .address = "127.0.0.1:" + std::to_string(engine.port())},
                          {.attempt = {"1"}, .connection = connection}, [&](const Engine::StreamEvent &event) {
                              received = event;
                              loop.stop();
                          });
            loop.run();
            return received.value();
        };
        CPPUNIT_ASSERT(std::holds_alternative<Engine::StreamRefusal>(generate(Connection::Any)));
        const auto second = generate(Connection::Any);
        CPPUNIT_ASSERT(std::holds_alternative<Engine::StreamFailure>(second));
        CPPUNIT_ASSERT(std::get<Engine::StreamFailure>(second).mayHaveRun);
        CPPUNIT_ASSERT(std::holds_alternative<Engine::StreamRefusal>(generate(Connection::Fresh)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpEngineLinkTest);
