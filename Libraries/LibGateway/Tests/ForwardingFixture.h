#pragma once

#include <LibCore/HttpStatus.h>
#include <LibCore/VirtualScheduler.h>
#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/Tests/LoneQuarantine.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Gateway::Testing {

using namespace std::chrono_literals;

inline constexpr std::string_view Adapter = "m/a1";

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
        bool isPaused = false;
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
    void pause(Net::HttpRequestId id) override
    {
        transfers.at(static_cast<std::size_t>(id) - 1).isPaused = true;
    }
    void resume(Net::HttpRequestId id) override
    {
        transfers.at(static_cast<std::size_t>(id) - 1).isPaused = false;
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
    void onReaderState(ReaderFunction changed) override
    {
        changeReader = std::move(changed);
    }

    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isEnded = false;
    bool isAborted = false;
    ClosedFunction callerLeaves;
    ReaderFunction changeReader;
};

// Reads the headers "Attempt", "Not-Run", "Stream" and "Framed".
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
                .readsAsNotRun = status == Core::HttpStatus::ServiceUnavailable,
                .hasServerStamp = true,
                .isEventStream = !Net::valueOf(fields, "Stream").empty(),
                .isFramed = !Net::valueOf(fields, "Framed").empty(),
                .attemptId = std::string(Net::valueOf(fields, "Attempt"))};
    }
};

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

// One request on its way through a host, with two replicas.
class ForwardingFixture : public CppUnit::TestFixture
{
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

protected:
    void start(Routes::Route route, Gateway::CallerRequest request)
    {
        request.target = "/" + std::to_string(++m_requests);
        route.services = {{.service = "s"}};
        auto configuration = std::make_shared<Routes::RouteConfiguration>();
        configuration->routes.push_back(std::move(route));
        request.attemptId = "caller-1";
        const auto *matched = &configuration->routes.front();
        m_forwarded = std::make_shared<Gateway::ForwardedRequest>(
            Gateway::ForwardingDependencies {.scheduler = m_scheduler,
                                             .client = m_transport,
                                             .protocol = m_protocol,
                                             .fleet = m_fleet,
                                             .releases = m_releases,
                                             .retryBudget = m_budget,
                                             .quarantine = m_quarantine,
                                             .crashes = m_lone.crashes,
                                             .metrics = m_metrics,
                                             .loadAdapter =
                                                 [this](const auto &load, auto done) {
                                                     m_loads.emplace_back(load, std::move(done));
                                                 },
                                             .hostCount =
                                                 [] {
                                                     return std::size_t(1);
                                                 },
                                             .isKeyValid =
                                                 [this](const std::string &key, const std::string &account) {
                                                     return m_validKeys.contains({key, account});
                                                 },
                                             .giveBack =
                                                 [this](const Gateway::RequestAccount &account) {
                                                     m_givenBack += account.cost;
                                                 }},
            m_exchange, std::move(request), Routes::MatchedRoute {.configuration = configuration, .route = matched},
            m_account);
        m_forwarded->start();
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

    void startUnsafe(std::size_t expectedTransfers = 1)
    {
        start({.kind = Routes::RequestKind::Unsafe, .timeout = 1500ms, .objective = 300ms, .maxAttempts = 1}, {});
        CPPUNIT_ASSERT_EQUAL(expectedTransfers, m_transport.transfers.size());
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

    unsigned m_requests = 0;
    Gateway::RequestAccount m_account; // Of the requests that are started.
    std::set<std::pair<std::string, std::string>> m_validKeys; // With their accounts.
    std::uint64_t m_givenBack = 0; // Returned to the allowance.
    std::shared_ptr<Gateway::ForwardedRequest> m_forwarded; // The last one.
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
    LoneQuarantine m_lone {m_scheduler};
    Routing::Quarantine &m_quarantine = m_lone.quarantine;
    std::vector<std::pair<Holding::AdapterRequest, std::function<void(const Holding::AdapterReply &)>>> m_loads;
};

}
