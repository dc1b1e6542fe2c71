#pragma once

#include <LibCore/Scheduler.h>
#include <LibGateway/CallerRequest.h>
#include <LibGateway/EventSplitter.h>
#include <LibGateway/FleetView.h>
#include <LibGateway/ServiceRetryBudget.h>
#include <LibMetrics/Registry.h>
#include <LibNet/HttpServer.h>
#include <LibRoutes/RouteTable.h>
#include <memory>

namespace Gateway {

// Has an adapter loaded at a replica by the host that holds it.
using AdapterLoader = std::function<void(const Holding::AdapterRequest &request,
                                         std::function<void(const Holding::AdapterReply &)> done)>;

// What a request needs of the host it passes through.
struct PassagePorts {
    Core::Scheduler &scheduler;
    Net::HttpClient &client;
    const Protocol &protocol;
    FleetView &fleet;
    const Fleet::ReleaseTable &releases;
    ServiceRetryBudget &allowance;
    Metrics::Registry &metrics;
    AdapterLoader loadAdapter;
    std::function<std::size_t()> hostCount;
};

// One caller's request on its way through this host: finds a replica, has the adapter loaded if needed, sends the
// request on, checks the answer and hands it to the caller. It is sent again only if it surely has not run, or if it
// is idempotent; a stream that may be resumed goes on at another replica within the same answer.
class Passage : public std::enable_shared_from_this<Passage>
{
public:
    Passage(PassagePorts ports, std::shared_ptr<Net::Exchange> exchange, CallerRequest request,
            Routes::MatchedRoute route);

    void start();

private:
    enum class Stage { Choosing, Loading, Sending, Ended };

    void proceed();
    void loadAdapter(const Fleet::Replica &replica);
    void takeAdapterReply(const Holding::AdapterReply &reply);
    void send();
    void takeHead(long status, const Net::HttpFields &fields);
    void takeBody(std::string_view bytes);
    void takeEnd(const Net::HttpResult &result);
    void takeRejection(const Net::HttpResult &result);
    void takeBreak(const Net::HttpResult &result);
    void takeAnswer(const Net::HttpResult &result);
    void passAnswer(std::string body);
    void abandonAttempt();
    void watchForSilence();
    void noteOutcome(Placement::AttemptOutcome outcome);
    void endAttempt();
    void retryOrFail(std::string_view reason);
    void refuse(std::string_view reason, Core::Duration retryAfter);
    void fail(unsigned status, std::string_view reason);
    void takeDeadline();
    void callerLeft();
    void end(unsigned status, std::string_view reason);
    [[nodiscard]] bool mayRunAgain() const;
    [[nodiscard]] bool isUsableHead() const;
    [[nodiscard]] Core::Duration remaining() const;

    PassagePorts m_ports;
    std::shared_ptr<Net::Exchange> m_exchange;
    CallerRequest m_request;
    Routes::MatchedRoute m_route;
    std::string m_service;
    Stage m_stage = Stage::Choosing;
    Core::TimePoint m_startedAt {};
    Core::TimePoint m_deadline {};
    Core::TimerId m_deadlineTimer = Core::TimerId::None;

    std::set<Core::TargetId> m_excluded; // Replicas that this request isn't sent to again.
    unsigned m_runs = 0; // Attempts in which the request may have run.
    unsigned m_sends = 0;
    unsigned m_loads = 0; // Requests to holders for the adapter.
    bool m_isRefuted = false; // The chosen replica has said that it hasn't got the adapter.

    // The attempt under way.
    Fleet::Replica m_replica;
    std::uint64_t m_version = 0; // Of the adapter there.
    Net::HttpRequestId m_transfer = Net::HttpRequestId::None;
    Core::TimePoint m_sentAt {};
    Core::TimePoint m_lastBytesAt {};
    Core::TimerId m_silenceTimer = Core::TimerId::None;
    AnswerHead m_head;
    bool m_hasHead = false;
    bool m_isReading = false; // The replica has begun to answer.
    std::string m_body;

    // The answer under way to the caller.
    EventSplitter m_events;
    bool m_isStreaming = false; // The caller has its head.
    Core::TimePoint m_firstEventAt {};
};

}
