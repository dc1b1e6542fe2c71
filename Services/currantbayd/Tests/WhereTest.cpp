#include <LibCore/VirtualScheduler.h>
#include <LibMetrics/Registry.h>
#include <StandIns/MemoryRows.h>
#include <cppunit/extensions/HelperMacros.h>
#include <currantbayd/GatewayOperatorInterface.h>
#include <platform/RequestProtocol.h>
#include <platform/StoreDeploymentSource.h>

using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxBodyBytes = 1000;

Json configuration(const Json &tenants)
{
    const auto route = [](const char *name, const char *prefix, const char *service) {
        return Json {{"name", name},       {"host", "h.example"}, {"prefix", prefix},   {"kind", "safe"},
                     {"timeout_ms", 2000}, {"slo_ms", 500},       {"service", service}, {"max_attempts", 2}};
    };
    const Json model {{"name", "m"}, {"weights_size", 1.0}, {"load_s", 0.1}, {"adapter_mb", 1.0}};
    const Json engine {{"slots", 8},
                       {"kv_capacity_tokens", 100000},
                       {"models", Json::array({model})},
                       {"weights_size", 99.0},
                       {"adapter_slots", 4}};
    Json json {{"version", 7},
               {"routes", {route("keyed", "/p/", "plain"), route("model", "/m/", "engine")}},
               {"services",
                {{{"name", "plain"}, {"max_conns", 99}}, {{"name", "engine"}, {"max_conns", 99}, {"engine", engine}}}}};
    if (!tenants.is_null()) {
        json["tenants"] = tenants;
    }
    return json;
}

// Keeps the addresses to which requests were sent, and answers none.
class SilentTransport final : public Net::HttpTransport
{
public:
    Net::HttpRequestId start(Net::HttpRequest request, DoneFunction /*done*/, DataFunction /*data*/,
                             HeadFunction /*head*/) override
    {
        urls.push_back(request.url);
        return Net::HttpRequestId(urls.size());
    }
    void cancel(Net::HttpRequestId /*id*/) override
    {
    }
    void pause(Net::HttpRequestId /*id*/) override
    {
    }
    void resume(Net::HttpRequestId /*id*/) override
    {
    }

    std::vector<std::string> urls;
};

class SilentOrders final : public Fleet::OrderLink
{
public:
    explicit SilentOrders(Core::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }
    void order(const Fleet::Replica & /*replica*/, const Fleet::ReplicaOrder & /*order*/, OrderFunction done) override
    {
        m_scheduler.runAfter(1ms, [done] {
            done(Fleet::OrderOutcome::Unknown, "silent");
        });
    }
    void report(const Fleet::Replica & /*replica*/, ReportFunction done) override
    {
        m_scheduler.runAfter(1ms, [done] {
            done(std::nullopt);
        });
    }

private:
    Core::Scheduler &m_scheduler;
};

class CountingPeers final : public Peer::PeerTransport
{
public:
    void send(const Core::HostId & /*to*/, std::string /*bytes*/) override
    {
        ++messages;
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
    }

    unsigned messages = 0;
};

// Records what a caller receives.
class Caller final : public Net::Exchange
{
public:
    using Exchange::Exchange;

    void respond(Net::ResponseHead responseHead, std::string /*body*/) override
    {
        head = std::move(responseHead);
    }
    void onClosed(ClosedFunction /*closed*/) override
    {
    }
    void onReaderState(ReaderFunction /*changed*/) override
    {
    }

    std::optional<Net::ResponseHead> head; // Empty until the caller gets a response.
};

}

// A host without a network, asked as an operator would ask and sent the same requests as a caller would.
class WhereTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WhereTest);
    CPPUNIT_TEST(choiceIsThatOfARequest);
    CPPUNIT_TEST(questionChangesNothing);
    CPPUNIT_TEST(refusalIsThatOfARequest);
    CPPUNIT_TEST(hostWithoutConfigurationRefuses);
    CPPUNIT_TEST(hostWithoutProofRefuses);
    CPPUNIT_TEST(accountIsExplainedWithoutItsKey);
    CPPUNIT_TEST(requestWithoutIdentifierIsToldSo);
    CPPUNIT_TEST(unreadableQuestionShowsNothingOfItself);
    CPPUNIT_TEST(wrongPathAndMethodAreRefused);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_scheduler;
    SilentTransport m_transport;
    StandIns::MemoryRows m_rows {m_scheduler};
    SilentOrders m_orders {m_scheduler};
    PlatformAdapter::RequestProtocol m_protocol;
    CountingPeers m_peers;
    Metrics::Registry m_metrics;
    Gateway::Gateway m_gateway {
        {.scheduler = m_scheduler,
         .client = m_transport,
         .table = m_rows,
         .rows = m_rows,
         .orders = m_orders,
         .protocol = m_protocol,
         .transport = m_peers,
         .metrics = m_metrics,
         .makeSource =
             [](Platform::RowFeed &rows) {
                 return std::make_unique<PlatformAdapter::StoreDeploymentSource>(rows);
             }},
        {.holding = {.self = {.host = {"h1"}, .zone = {"a"}, .incarnation = 1}}, .revocationBound = 5s}};
    Daemon::GatewayOperatorInterface m_operators {m_gateway,
                                                  {.maxBodyBytes =
                                                       [] {
                                                           return MaxBodyBytes;
                                                       },
                                                   .idSeed = 1}};

public:
    void setUp() override
    {
        m_scheduler.advance(1h); // No time of an event may look like one before the start.
    }

private:
    void start(const Json &tenants = nullptr)
    {
        m_rows.put("op", "config", configuration(tenants).dump());
        const Json model {{"name", "m"}, {"version", 1}, {"adapters", Json::array({"a1@1"})}};
        for (int number = 0; number < 3; ++number) {
            putReplica("plain-" + std::to_string(number), "plain", Json::array());
            putReplica("engine-" + std::to_string(number), "engine", Json::array({model}));
        }
        m_gateway.start();
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(m_gateway.isReady());
    }

    static std::string addressOf(const std::string &id)
    {
        return (id.starts_with("plain") ? "10.0.0." : "10.0.1.") + std::string(1, id.back()) + ":80";
    }

    void putReplica(const std::string &id, const std::string &service, const Json &models)
    {
        m_rows.put("servers", id,
                   Json {{"service", service},
                         {"address", addressOf(id)},
                         {"zone", "a"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"models", models},
                         {"seq", 0},
                         {"born", 1}}
                       .dump());
    }

    static Json question(const std::string &path, Json headers)
    {
        headers["Host"] = "h.example";
        return {{"method", "POST"}, {"path", path}, {"headers", std::move(headers)}};
    }

    Json ask(const Json &question)
    {
        const auto answer = m_operators.answer("POST", "/operator/where", question.dump());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body.dump(), 200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), answer.body.value("host", ""));
        CPPUNIT_ASSERT(answer.body.contains("choice") != answer.body.contains("refusal"));
        return answer.body;
    }

    // Sends the request of the question, and returns what its caller has received.
    std::optional<Net::ResponseHead> send(const Json &question)
    {
        Net::ServerRequest request {.method = question["method"], .path = question["path"], .target = question["path"]};
        for (const auto &[name, value] : question["headers"].items()) {
            request.fields.emplace_back(name, value);
            auto lower = name;
            std::ranges::transform(lower, lower.begin(), [](unsigned char character) {
                return std::tolower(character);
            });
            request.headers[lower] = value;
        }
        const auto caller = std::make_shared<Caller>(std::move(request));
        m_gateway.handleRequest(caller);
        return caller->head;
    }

    // Guards against an answer that names another replica than the one to which the request is sent.
    void choiceIsThatOfARequest()
    {
        start();
        std::set<std::string> chosen;
        for (int number = 0; number < 60; ++number) {
            const bool isPlain = number % 2 == 0;
            const auto asked = question(isPlain ? "/p/x" : "/m/x",
                                        {{"X-Attempt-Id", "id" + std::to_string(number)},
                                         {"X-Model", isPlain ? "" : "m"},
                                         {"X-Token-Counts", "300,20"}});
            const auto answer = ask(asked);
            CPPUNIT_ASSERT_EQUAL(answer, ask(asked));
            const auto head = send(asked);
            CPPUNIT_ASSERT_MESSAGE(answer.dump(), !head.has_value());
            CPPUNIT_ASSERT_EQUAL("http://" + addressOf(answer["choice"]) + "/", m_transport.urls.back());
            CPPUNIT_ASSERT_EQUAL(std::string(isPlain ? "plain" : "engine"), answer.value("service", ""));
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), answer["candidates"].size());
            chosen.insert(answer["choice"]);
            m_scheduler.advance(5ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), m_transport.urls.size());
        CPPUNIT_ASSERT(chosen.size() >= 4);
    }

    // Guards against a question that takes a place or an allowance, or that other hosts or the metrics notice.
    void questionChangesNothing()
    {
        start(Json::array({{{"name", "acme"}, {"api_keys", {"k-1"}}, {"rate_per_s", 1}, {"burst", 1}}}));
        const auto asked = question("/p/x", {{"X-Attempt-Id", "id"}, {"X-Api-Key", "k-1"}});
        const auto metrics = m_metrics.toPrometheusText();
        const auto messages = m_peers.messages;
        const auto first = ask(asked);
        CPPUNIT_ASSERT_MESSAGE(first.dump(), first.contains("choice"));
        for (int number = 0; number < 20; ++number) {
            CPPUNIT_ASSERT_EQUAL(first, ask(asked));
            ask(question("/p/x", {{"X-Api-Key", "unknown"}}));
            ask(question("/m/x", {{"X-Api-Key", "k-1"}, {"X-Model", "m/absent"}}));
        }
        CPPUNIT_ASSERT_EQUAL(metrics, m_metrics.toPrometheusText());
        CPPUNIT_ASSERT_EQUAL(messages, m_peers.messages);
        CPPUNIT_ASSERT(m_transport.urls.empty());
        const auto &counts = m_gateway.allowanceCounts();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counts.asked + counts.refused + counts.takenWithoutLender);
    }

    // Guards against a refusal that differs from the one that a caller gets.
    void refusalIsThatOfARequest()
    {
        start(Json::array({{{"name", "acme"}, {"api_keys", {"k-1"}}}}));
        const std::vector<std::pair<unsigned, Json>> cases {
            {401, question("/p/x", {{"X-Attempt-Id", "id"}, {"X-Api-Key", "k-2"}})},
            {401, question("/p/x", {{"X-Attempt-Id", "id"}})},
            {404, question("/other/", {{"X-Attempt-Id", "id"}})},
            {503, question("/p/x", {{"X-Attempt-Id", "id"}, {"X-Api-Key", "k-1"}, {"X-Deadline-Ms", "5"}})},
            {503, question("/m/x", {{"X-Attempt-Id", "id"}, {"X-Api-Key", "k-1"}, {"X-Model", "other"}})},
            {400, {{"method", "GET"}, {"path", "/p/x"}, {"headers", Json::object()}}}};
        for (const auto &[status, asked] : cases) {
            const auto refusal = ask(asked)["refusal"];
            CPPUNIT_ASSERT_EQUAL_MESSAGE(refusal.dump(), status, refusal["status"].get<unsigned>());
            const auto head = send(asked);
            CPPUNIT_ASSERT(head.has_value());
            CPPUNIT_ASSERT_EQUAL(status, head->status);
            const auto retryAfter = Net::valueOf(head->headers, "Retry-After");
            CPPUNIT_ASSERT_EQUAL(retryAfter.empty(), !refusal.contains("retryAfterMs"));
            if (!retryAfter.empty()) {
                const auto expected = std::stod(std::string(retryAfter)) * 1000;
                CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, refusal["retryAfterMs"].get<double>(), 1);
            }
        }
        auto large = question("/p/x", {{"X-Attempt-Id", "id"}, {"X-Api-Key", "k-1"}});
        large["bodyBytes"] = MaxBodyBytes;
        CPPUNIT_ASSERT_MESSAGE(ask(large).dump(), ask(large).contains("choice"));
        large["bodyBytes"] = MaxBodyBytes + 1;
        CPPUNIT_ASSERT_EQUAL(413U, ask(large)["refusal"]["status"].get<unsigned>());
        const auto twoHosts = question("/p/x", {{"host", "h.example"}});
        CPPUNIT_ASSERT_EQUAL(400U, ask(twoHosts)["refusal"]["status"].get<unsigned>());
    }

    void hostWithoutConfigurationRefuses()
    {
        const auto asked = question("/p/x", {{"X-Attempt-Id", "id"}});
        const auto answer = ask(asked);
        CPPUNIT_ASSERT_EQUAL(503U, answer["refusal"]["status"].get<unsigned>());
        CPPUNIT_ASSERT_EQUAL(100, answer["refusal"]["retryAfterMs"].get<int>());
        CPPUNIT_ASSERT(!answer.contains("configuration") && !answer.contains("candidates"));
        CPPUNIT_ASSERT_EQUAL(503U, send(asked)->status);
    }

    // Guards against an answer that trusts a key which the host itself no longer accepts.
    void hostWithoutProofRefuses()
    {
        start(Json::array({{{"name", "acme"}, {"api_keys", {"k-1"}}}}));
        auto asked = question("/p/x", {{"X-Attempt-Id", "id"}, {"X-Api-Key", "k-1"}});
        CPPUNIT_ASSERT_MESSAGE(ask(asked).dump(), ask(asked).contains("choice"));
        m_rows.isDown = true;
        m_scheduler.advance(12s);
        CPPUNIT_ASSERT_EQUAL(503U, send(asked)->status);
        CPPUNIT_ASSERT_EQUAL(503U, ask(asked)["refusal"]["status"].get<unsigned>());
        asked["account"] = "acme";
        CPPUNIT_ASSERT_EQUAL(503U, ask(asked)["refusal"]["status"].get<unsigned>());
    }

    void accountIsExplainedWithoutItsKey()
    {
        start(Json::array({{{"name", "acme"},
                            {"api_keys", {"k-1", "k-2"}},
                            {"priority", 2},
                            {"unit", "tokens"},
                            {"rate_per_s", 500},
                            {"burst", 900}}}));
        auto asked = question("/p/x", {{"X-Attempt-Id", "id"}, {"X-Token-Counts", "100,20"}, {"X-Api-Key", "k-1"}});
        const auto byKey = ask(asked);
        CPPUNIT_ASSERT(byKey.dump().find("k-1") == std::string::npos);
        const Json expected {{"name", "acme"},
                             {"priority", 2},
                             {"cost", 120},
                             {"allowance", {{"ratePerSecond", 500.0}, {"burst", 900.0}, {"unit", "tokens"}}}};
        CPPUNIT_ASSERT_EQUAL(expected, byKey["account"]);
        asked["headers"].erase("X-Api-Key");
        asked["account"] = "acme";
        CPPUNIT_ASSERT_EQUAL(byKey, ask(asked));
        asked["account"] = "other";
        CPPUNIT_ASSERT_EQUAL(401U, ask(asked)["refusal"]["status"].get<unsigned>());
    }

    void requestWithoutIdentifierIsToldSo()
    {
        start();
        const auto first = ask(question("/p/x", Json::object()));
        CPPUNIT_ASSERT(first["request"]["isIdMadeUp"].get<bool>());
        CPPUNIT_ASSERT(first["request"]["id"] != ask(question("/p/x", Json::object()))["request"]["id"]);
        const auto second = ask(question("/p/x", {{"X-Attempt-Id", "id"}}));
        CPPUNIT_ASSERT_EQUAL(Json({{"id", "id"}, {"isIdMadeUp", false}}), second["request"]);
    }

    // Guards against an error that quotes a key.
    void unreadableQuestionShowsNothingOfItself()
    {
        for (const auto *body :
             {"", "secret", "[\"secret\"]", R"({"method": "GET"})",
              R"({"method": "GET", "path": 1, "headers": {"X-Api-Key": "secret"}})",
              R"({"method": "GET", "path": "/", "headers": "secret"})",
              R"({"method": "GET", "path": "/", "headers": {"X-Api-Key": {"secret": 1}}})",
              R"({"method": "GET", "path": "/", "headers": {"X-Api-Key": ["secret", 1]}})",
              R"({"method": "GET", "path": "/", "account": 3})", R"({"method": "GET", "path": "/", "bodyBytes": -1})",
              R"({"method": "GET", "path": "/", "headers": {"X-Api-Key": "secret)"}) {
            const auto answer = m_operators.answer("POST", "/operator/where", body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400U, answer.status);
            CPPUNIT_ASSERT_MESSAGE(body, answer.body["error"].is_string());
            CPPUNIT_ASSERT_MESSAGE(body, answer.body.dump().find("secret") == std::string::npos);
        }
    }

    void wrongPathAndMethodAreRefused()
    {
        CPPUNIT_ASSERT_EQUAL(404U, m_operators.answer("GET", "/operator/other", "").status);
        const auto answer = m_operators.answer("GET", "/operator/where", "");
        CPPUNIT_ASSERT_EQUAL(405U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), answer.allowedMethods);
        CPPUNIT_ASSERT(!Daemon::GatewayOperatorInterface::isResponsibleFor("/metrics"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WhereTest);
