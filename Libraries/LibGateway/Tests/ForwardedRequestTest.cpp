#include <LibCore/VirtualScheduler.h>
#include <LibGateway/ForwardedRequest.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

constexpr std::string_view Adapter = "m/a1";

// Keeps the requests that were started, so that a test can answer them.
class FakeTransport final : public Net::HttpTransport
{
public:
    struct Transfer {
        Net::HttpRequest request;
        DoneFunction done;
        DataFunction data;
        HeadFunction head;
        bool isCancelled = false;
    };

    Net::HttpRequestId start(Net::HttpRequest request, DoneFunction done, DataFunction data, HeadFunction head) override
    {
        transfers.push_back(
            {.request = std::move(request), .done = std::move(done), .data = std::move(data), .head = std::move(head)});
        return Net::HttpRequestId(transfers.size());
    }
    void cancel(Net::HttpRequestId id) override
    {
        transfers.at(static_cast<std::size_t>(id) - 1).isCancelled = true;
    }

    std::vector<Transfer> transfers;
};

// Records what the caller receives.
class FakeExchange final : public Net::Exchange
{
public:
    void respond(Net::ResponseHead head, std::string responseBody) override
    {
        status = head.status;
        headers = std::move(head.headers);
        body = std::move(responseBody);
        isEnded = true;
    }
    void beginStream(Net::ResponseHead head) override
    {
        status = head.status;
    }
    void send(std::string_view piece) override
    {
        body += piece;
    }
    void endStream() override
    {
        isEnded = true;
    }
    void abortStream() override
    {
        isEnded = true;
        isAborted = true;
    }
    void onClosed(ClosedFunction closed) override
    {
        callerLeaves = std::move(closed);
    }

    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isEnded = false;
    bool isAborted = false;
    ClosedFunction callerLeaves;
};

// Reads the headers "Attempt", "Not-Run" and "Stream".
class FakeProtocol final : public Gateway::Protocol
{
public:
    [[nodiscard]] Gateway::CallerRequest readRequest(const Net::ServerRequest & /*request*/) const override
    {
        return {};
    }
    [[nodiscard]] Net::HttpRequest writeRequest(const Gateway::CallerRequest & /*request*/,
                                                const Gateway::Dispatch &dispatch) const override
    {
        Net::HttpRequest request {.url = dispatch.address};
        request.headers.push_back(dispatch.replica.value);
        if (dispatch.lastEventId.has_value()) {
            request.headers.push_back("after " + std::to_string(*dispatch.lastEventId));
        }
        return request;
    }
    [[nodiscard]] Gateway::ResponseHead readHead(long status, const Net::HttpFields &fields) const override
    {
        return {.status = status,
                .hasNotRun = !Net::valueOf(fields, "Not-Run").empty(),
                .hasServerStamp = true,
                .isEventStream = !Net::valueOf(fields, "Stream").empty(),
                .attemptId = std::string(Net::valueOf(fields, "Attempt"))};
    }
};

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

}

// One request on its way through a host, with two replicas.
class ForwardedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardedRequestTest);
    CPPUNIT_TEST(slowStreamIsNotCut);
    CPPUNIT_TEST(silentStreamStaysWhereItIsUntilAnotherReplicaIsReady);
    CPPUNIT_TEST(silentStreamContinuesAtReplicaThatIsReady);
    CPPUNIT_TEST(bytesWithoutEventsAreNoProgress);
    CPPUNIT_TEST(brokenStreamIsContinuedUntilItsDeadline);
    CPPUNIT_TEST(slowLoadIsAwaitedAtTheSameReplica);
    CPPUNIT_TEST(endlessBodyIsBrokenOff);
    CPPUNIT_TEST(endlessEventIsBrokenOff);
    CPPUNIT_TEST(lostAnswerIsNeitherRepeatedNorCalledNotRun);
    CPPUNIT_TEST(answerOfAnotherRequestIsNotForwarded);
    CPPUNIT_TEST(requestThatDidNotRunIsSentAgain);
    CPPUNIT_TEST(workEndsWhenCallerLeaves);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_scheduler;
    FakeTransport m_transport;
    FakeProtocol m_protocol;
    Fleet::ReplicaSet m_replicas;
    Fleet::ReleaseTable m_releases;
    Gateway::FleetView m_fleet {m_replicas,
                                m_releases,
                                {.ownZone = {"a"}},
                                [](const Core::TargetId &) {
                                    return true;
                                },
                                [] {
                                    return std::size_t(1);
                                }};
    Gateway::ServiceRetryBudget m_budget;
    Metrics::Registry m_metrics;
    std::shared_ptr<FakeExchange> m_exchange = std::make_shared<FakeExchange>();
    std::vector<std::pair<Holding::AdapterRequest, std::function<void(const Holding::AdapterReply &)>>> m_loads;

public:
    void setUp() override
    {
        Fleet::ReplicaChanges changes {.outcome = Platform::FeedOutcome::Read};
        for (const auto *name : {"r1", "r2"}) {
            Fleet::Replica replica {.id = {name}, .service = "s", .address = name, .zone = {"a"}, .slots = 16};
            replica.models.push_back({.model = "m"});
            changes.present.push_back(replica);
        }
        m_replicas.apply(changes, true, m_scheduler.now(), m_scheduler.now());
        m_fleet.refresh(m_scheduler.now());
    }

private:
    void start(Routes::Route route, Gateway::CallerRequest request)
    {
        route.services = {{.service = "s"}};
        auto configuration = std::make_shared<Routes::RouteConfiguration>();
        configuration->routes.push_back(std::move(route));
        request.attemptId = "caller-1";
        const auto *matched = &configuration->routes.front();
        std::make_shared<Gateway::ForwardedRequest>(
            Gateway::ForwardingDependencies {.scheduler = m_scheduler,
                                             .client = m_transport,
                                             .protocol = m_protocol,
                                             .fleet = m_fleet,
                                             .releases = m_releases,
                                             .retryBudget = m_budget,
                                             .metrics = m_metrics,
                                             .loadAdapter =
                                                 [this](const auto &load, auto done) {
                                                     m_loads.emplace_back(load, std::move(done));
                                                 },
                                             .hostCount =
                                                 [] {
                                                     return std::size_t(1);
                                                 }},
            m_exchange, std::move(request), Routes::MatchedRoute {.configuration = configuration, .route = matched})
            ->start();
    }

    // A resumable stream for an adapter that is in the memory of r1 only, which has sent its first event.
    void startStream()
    {
        m_fleet.setResident({"r1"}, std::string(Adapter), 1, m_scheduler.now());
        start({.kind = Routes::RequestKind::Stream,
               .isResumable = true,
               .timeout = 15s,
               .objective = 1s,
               .maxAttempts = 2},
              {.model = "m", .adapter = "a1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), m_transport.transfers[0].request.url);
        answerHead(0, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
        m_transport.transfers[0].data(200, event(0));
    }

    void startUnsafe()
    {
        start({.kind = Routes::RequestKind::Unsafe, .timeout = 1500ms, .objective = 300ms, .maxAttempts = 1}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }

    void answerHead(std::size_t transfer, long status, const Net::HttpFields &fields)
    {
        m_transport.transfers.at(transfer).head(status, fields);
    }

    void end(std::size_t transfer, Net::HttpResult result)
    {
        // The function may start further transfers, which moves the elements.
        const auto done = m_transport.transfers.at(transfer).done;
        done(std::move(result));
    }

    void reply(std::size_t load, Holding::AdapterOutcome outcome)
    {
        const auto done = m_loads.at(load).second;
        done({.outcome = static_cast<std::uint8_t>(outcome), .version = 1});
    }

    void slowStreamIsNotCut()
    {
        startStream();
        for (int id = 1; id < 10; ++id) {
            m_scheduler.advance(1100ms);
            CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
            m_transport.transfers[0].data(200, event(id));
        }
        end(0, {.status = 200});
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
        CPPUNIT_ASSERT(m_loads.empty());
    }

    void silentStreamStaysWhereItIsUntilAnotherReplicaIsReady()
    {
        startStream();
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT(!m_loads.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_loads[0].first.replica.value);
        reply(0, Holding::AdapterOutcome::Unavailable);
        m_scheduler.advance(500ms);
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
        // The replica goes on before another one is ready.
        m_transport.transfers[0].data(200, event(1));
        reply(m_loads.size() - 1, Holding::AdapterOutcome::Ready);
        m_scheduler.advance(500ms);
        CPPUNIT_ASSERT(!m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        end(0, {.status = 200});
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
    }

    void silentStreamContinuesAtReplicaThatIsReady()
    {
        startStream();
        m_scheduler.advance(2s);
        reply(0, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), m_transport.transfers[1].request.url);
        CPPUNIT_ASSERT_EQUAL(std::string("after 0"), m_transport.transfers[1].request.headers.back());
        answerHead(1, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
        m_transport.transfers[1].data(200, event(1));
        end(1, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(event(0) + event(1), m_exchange->body);
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
    }

    // A stalled replica sends a byte now and then.
    void bytesWithoutEventsAreNoProgress()
    {
        startStream();
        for (int i = 0; i < 8; ++i) {
            m_transport.transfers[0].data(200, "d");
            m_scheduler.advance(200ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
    }

    // The response was broken off when two replicas couldn't load its adapter at once, though 12 of 15 seconds were
    // left.
    void brokenStreamIsContinuedUntilItsDeadline()
    {
        startStream();
        end(0, {.error = "Failure when receiving data from the peer"});
        for (auto passed = 0s; passed < 10s; passed += 1s) {
            for (std::size_t load = m_loads.size(); load > 0 && load == m_loads.size();) {
                --load;
                reply(load, Holding::AdapterOutcome::Unavailable);
            }
            m_scheduler.advance(1s);
            CPPUNIT_ASSERT(!m_exchange->isEnded);
        }
        reply(m_loads.size() - 1, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        answerHead(1, 200, {{"Attempt", "caller-1"}, {"Stream", "yes"}});
        m_transport.transfers[1].data(200, event(1));
        end(1, {.status = 200});
        CPPUNIT_ASSERT(m_exchange->isEnded && !m_exchange->isAborted);
    }

    void slowLoadIsAwaitedAtTheSameReplica()
    {
        start({.kind = Routes::RequestKind::Stream, .timeout = 12s, .objective = 800ms},
              {.model = "m", .adapter = "a1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
        m_scheduler.advance(1s);
        reply(0, Holding::AdapterOutcome::Loading);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_loads.size());
        CPPUNIT_ASSERT(m_loads[0].first.replica == m_loads[1].first.replica);
        m_scheduler.advance(1s);
        reply(1, Holding::AdapterOutcome::Loading);
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
        CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), m_exchange->headers.at(0).first);
        CPPUNIT_ASSERT(m_transport.transfers.empty());
    }

    void endlessBodyIsBrokenOff()
    {
        startUnsafe();
        answerHead(0, 200, {{"Attempt", "caller-1"}});
        const std::string piece(1U << 20U, 'x');
        for (int i = 0; i < 64 && !m_transport.transfers[0].isCancelled; ++i) {
            m_transport.transfers[0].data(200, piece);
        }
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }

    void endlessEventIsBrokenOff()
    {
        startStream();
        const std::string piece(1U << 16U, 'x');
        for (int i = 0; i < 64 && !m_transport.transfers[0].isCancelled; ++i) {
            m_transport.transfers[0].data(200, piece);
        }
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        CPPUNIT_ASSERT_EQUAL(event(0), m_exchange->body);
    }

    void lostAnswerIsNeitherRepeatedNorCalledNotRun()
    {
        startUnsafe();
        end(0, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
        m_scheduler.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        CPPUNIT_ASSERT(m_exchange->headers.empty());
        CPPUNIT_ASSERT(m_exchange->body.find("did not run") == std::string::npos);
    }

    // A replica's second copy of an earlier answer arrives where the answer to this request is expected.
    void answerOfAnotherRequestIsNotForwarded()
    {
        startUnsafe();
        answerHead(0, 200, {{"Attempt", "caller-0"}});
        m_transport.transfers[0].data(200, "another caller's seat");
        end(0, {.status = 200});
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        CPPUNIT_ASSERT(m_exchange->body.find("seat") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }

    void requestThatDidNotRunIsSentAgain()
    {
        startUnsafe();
        answerHead(0, 503, {{"Attempt", "caller-1"}, {"Not-Run", "1"}});
        end(0, {.status = 503});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.transfers.size());
        CPPUNIT_ASSERT(m_transport.transfers[0].request.url != m_transport.transfers[1].request.url);
        end(1, {.error = "Couldn't connect to server", .mayHaveBeenSent = false});
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
    }

    void workEndsWhenCallerLeaves()
    {
        startStream();
        m_exchange->callerLeaves();
        CPPUNIT_ASSERT(m_transport.transfers[0].isCancelled);
        m_scheduler.advance(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedRequestTest);
