#pragma once

#include <LibCore/VirtualScheduler.h>
#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/Tests/LoneQuarantine.h>

namespace Tests {

// Keeps the requests that were started, so that a test can answer them as their replicas.
class ManualTransport final : public Net::HttpTransport
{
public:
    struct Transfer {
        std::string replica;
        std::string request;
        Core::TimePoint startedAt {};
        DoneFunction done;
        DataFunction data;
        HeadFunction head;
        bool isOpen = true;
    };

    explicit ManualTransport(Core::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    Net::HttpRequestId start(Net::HttpRequest request, DoneFunction done, DataFunction data, HeadFunction head) override
    {
        transfers.push_back({.replica = request.headers.at(0),
                             .request = request.headers.at(1),
                             .startedAt = m_scheduler.now(),
                             .done = std::move(done),
                             .data = std::move(data),
                             .head = std::move(head)});
        return Net::HttpRequestId(transfers.size());
    }
    void cancel(Net::HttpRequestId id) override
    {
        transfers.at(static_cast<std::size_t>(id) - 1).isOpen = false;
    }
    void pause(Net::HttpRequestId /*id*/) override
    {
    }
    void resume(Net::HttpRequestId /*id*/) override
    {
    }

    std::vector<Transfer> transfers;

private:
    Core::Scheduler &m_scheduler;
};

// Records what a caller receives.
class CallerEnd : public Net::Exchange
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
        headers = std::move(head.headers);
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
    void onClosed(ClosedFunction /*closed*/) override
    {
    }

    [[nodiscard]] double retryAfter() const
    {
        const auto value = Net::valueOf(headers, "Retry-After");
        return value.empty() ? -1 : std::stod(std::string(value));
    }

    unsigned status = 0;
    Net::HttpFields headers;
    std::string body;
    bool isEnded = false;
    bool isAborted = false;
};

// Reads the headers "Not-Run", "Stream", "Framed", "Length", "Unstamped", "Leaving", "Limit" and "Pause", which is in
// milliseconds.
class PlainProtocol : public Gateway::Protocol
{
public:
    [[nodiscard]] Gateway::CallerRequest readRequest(const Net::ServerRequest & /*request*/) const override
    {
        return {};
    }
    [[nodiscard]] Net::HttpRequest writeRequest(const Gateway::CallerRequest &request,
                                                const Gateway::Dispatch &dispatch) const override
    {
        Net::HttpRequest outgoing {.url = dispatch.address};
        outgoing.headers = {dispatch.replica.value, request.attemptId};
        return outgoing;
    }
    [[nodiscard]] Gateway::ResponseHead readHead(long status, const Net::HttpFields &fields) const override
    {
        Gateway::ResponseHead head {.status = status,
                                    .hasNotRun = !Net::valueOf(fields, "Not-Run").empty(),
                                    .hasServerStamp = Net::valueOf(fields, "Unstamped").empty(),
                                    .isEventStream = !Net::valueOf(fields, "Stream").empty(),
                                    .isFramed = !Net::valueOf(fields, "Framed").empty(),
                                    .hasLength = !Net::valueOf(fields, "Length").empty(),
                                    .isLeaving = !Net::valueOf(fields, "Leaving").empty(),
                                    .attemptId = std::string(Net::valueOf(fields, "Attempt")),
                                    .fields = fields};
        if (const auto pause = Net::valueOf(fields, "Pause"); !pause.empty()) {
            head.pause = std::chrono::milliseconds(std::stoll(std::string(pause)));
        }
        const auto limit = Net::valueOf(fields, "Limit");
        head.namesNoLimit = limit.empty();
        if (!limit.empty() && limit != "unreadable") {
            head.requestLimit = std::stod(std::string(limit));
        }
        return head;
    }
};

// Any number of requests on their way through one host to the replicas of service "s", which run model "m".
class ForwardingHarness
{
public:
    using Loaded = std::function<void(const Holding::AdapterReply &)>;

    explicit ForwardingHarness(Routing::QuarantineOptions quarantine = {})
        : m_lone(scheduler, quarantine)
    {
        scheduler.advance(std::chrono::hours(1)); // No time of an event may look like one before the start.
    }

    void list(const std::vector<Fleet::Replica> &replicas)
    {
        m_replicas.apply({.outcome = Platform::FeedOutcome::Read, .present = replicas}, true, scheduler.now(),
                         scheduler.now() - std::chrono::minutes(1));
        fleet.refresh(scheduler.now());
    }

    static Fleet::Replica replica(const std::string &id, std::uint64_t startedAt = 1, unsigned slots = 16)
    {
        return {.id = {id},
                .service = "s",
                .address = id,
                .zone = {"a"},
                .slots = slots,
                .startedAt = startedAt,
                .models = {{.model = "m"}}};
    }

    // Sends a request and returns what its caller receives. Without a path it is none that was sent before.
    std::shared_ptr<CallerEnd> start(Routes::Route route, Gateway::CallerRequest request,
                                     Gateway::RequestAccount account = {})
    {
        if (request.target.empty()) {
            request.target = "/" + std::to_string(++m_requests);
        }
        route.services = {{.service = "s"}};
        auto configuration = std::make_shared<Routes::RouteConfiguration>();
        configuration->routes.push_back(std::move(route));
        const auto *matched = &configuration->routes.front();
        auto caller = std::make_shared<CallerEnd>();
        const Gateway::ForwardingDependencies dependencies {.scheduler = scheduler,
                                                            .client = transport,
                                                            .protocol = m_protocol,
                                                            .fleet = fleet,
                                                            .releases = m_releases,
                                                            .retryBudget = budget,
                                                            .quarantine = m_lone.quarantine,
                                                            .crashes = m_lone.crashes,
                                                            .metrics = metrics,
                                                            .loadAdapter =
                                                                [this](const auto &load, auto done) {
                                                                    loads.emplace_back(load, std::move(done));
                                                                },
                                                            .hostCount =
                                                                [] {
                                                                    return std::size_t(1);
                                                                },
                                                            .isKeyValid =
                                                                [](const auto &, const auto &) {
                                                                    return true;
                                                                },
                                                            .budget = buffers};
        std::make_shared<Gateway::ForwardedRequest>(
            dependencies, caller, std::move(request),
            Routes::MatchedRoute {.configuration = configuration, .route = matched}, std::move(account))
            ->start();
        return caller;
    }

    // Sends the head of the response. The attempt's ID is added.
    void answerHead(std::size_t transfer, long status, Net::HttpFields fields)
    {
        const auto head = transport.transfers.at(transfer).head;
        fields.emplace_back("Attempt", transport.transfers.at(transfer).request);
        head(status, fields);
    }

    // Sends the head and the end of a response without a body.
    void answer(std::size_t transfer, long status, Net::HttpFields fields)
    {
        answerHead(transfer, status, std::move(fields));
        end(transfer, {.status = status});
    }

    void end(std::size_t transfer, Net::HttpResult result)
    {
        transport.transfers.at(transfer).isOpen = false;
        // The function may start further transfers, which moves the elements.
        const auto done = transport.transfers.at(transfer).done;
        done(std::move(result));
    }

    void finishLoad(std::size_t load, Holding::AdapterOutcome outcome)
    {
        const auto done = loads.at(load).second;
        done({.outcome = static_cast<std::uint8_t>(outcome), .version = 1});
    }

    [[nodiscard]] std::size_t sendsTo(std::string_view replica) const
    {
        return static_cast<std::size_t>(
            std::count_if(transport.transfers.begin(), transport.transfers.end(), [replica](const auto &transfer) {
                return transfer.replica == replica;
            }));
    }

    Core::VirtualScheduler scheduler;
    ManualTransport transport {scheduler};
    Gateway::ServiceRetryBudget budget;
    Metrics::Registry metrics;
    Net::BufferBudget *buffers = nullptr;
    std::vector<std::pair<Holding::AdapterRequest, Loaded>> loads;

private:
    unsigned m_requests = 0;
    PlainProtocol m_protocol;
    Fleet::ReplicaSet m_replicas;
    Fleet::ReleaseTable m_releases;
    Gateway::Testing::LoneQuarantine m_lone;

public:
    Gateway::FleetView fleet {m_replicas,
                              m_releases,
                              {.ownZone = {"a"}},
                              [](const Core::TargetId &) {
                                  return true;
                              },
                              [] {
                                  return std::size_t(1);
                              }};
};

}
