#pragma once

#include <LibCore/Scheduler.h>
#include <LibGateway/CallerRequest.h>
#include <LibGateway/EventSplitter.h>
#include <LibGateway/FleetView.h>
#include <LibGateway/LoadPatience.h>
#include <LibGateway/ReplicaCrashes.h>
#include <LibGateway/RequestAccount.h>
#include <LibGateway/ServiceRetryBudget.h>
#include <LibMetrics/Registry.h>
#include <LibNet/BufferBudget.h>
#include <LibNet/HttpServer.h>
#include <LibNet/HttpTransport.h>
#include <LibPlacement/EventSpans.h>
#include <LibRoutes/RouteTable.h>
#include <memory>

namespace Gateway {

// Asks the holder of a replica to load an adapter there.
using AdapterLoader = std::function<void(const Holding::AdapterRequest &request,
                                         std::function<void(const Holding::AdapterReply &)> done)>;

// The parts of the host that a forwarded request uses.
struct ForwardingDependencies {
    Core::Scheduler &scheduler;
    Net::HttpTransport &client;
    const Protocol &protocol;
    FleetView &fleet;
    const Fleet::ReleaseTable &releases;
    ServiceRetryBudget &retryBudget;
    Routing::Quarantine &quarantine;
    ReplicaCrashes &crashes;
    Metrics::Registry &metrics;
    AdapterLoader loadAdapter;
    std::function<std::size_t()> hostCount;
    // Whether the key belongs to the account by the active configuration; not called for requests without a key.
    std::function<bool(const std::string &key, const std::string &account)> isKeyValid;
    // Returns what the request has taken from the allowance of its account, if it has certainly not run.
    std::function<void(const RequestAccount &account)> giveBack;
    // Called at the end of a request that has an account, with the status of the response; zero if there was none.
    std::function<void(const std::string &account, unsigned status)> recordEnd;
    Net::BufferBudget *budget = nullptr; // For the responses that the host buffers; null for no limit.
};

// Forwards one caller's request: selects a replica, has the adapter loaded if needed, sends the request, checks the
// response and returns it to the caller. A request is retried only if it certainly has not run or if it is idempotent.
// A resumable stream continues at another replica within the same response to the caller.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(ForwardingDependencies dependencies, std::shared_ptr<Net::Exchange> exchange,
                     CallerRequest request, Routes::MatchedRoute route, RequestAccount account = {});

    void start();
    // Ends the request because the host stops: it is refused if it hasn't run, and otherwise fails.
    void stop();

private:
    enum class Stage { Selecting, Loading, Sending, Ended };

    // Decides which replicas of a plain service have room for the request, by what its account and the others send.
    void decideAdmission();
    void selectReplica();
    void loadAdapter();
    void requestLoad();
    void handleAdapterReply(const Holding::AdapterReply &reply);
    // Goes on waiting for a load that is in progress, or refuses the request until it has ended.
    void awaitLoad(Core::Duration expectedDelay);
    // Selects a replica again after a pause, for a response that has begun.
    void selectReplicaLater();
    [[nodiscard]] LoadWait loadWait() const;
    // The request has run in part, and refusing it now would break its response off.
    [[nodiscard]] bool isContinued() const;
    [[nodiscard]] Holding::AdapterRequest adapterRequest(const Core::TargetId &replica) const;
    // Starts an attempt if the retry budget allows it and the account's key hasn't been revoked.
    void send();
    // 0 is the most urgent.
    [[nodiscard]] int priority() const;
    [[nodiscard]] bool hasValidKey() const;
    void startAttempt();
    void handleHead(long status, const Net::HttpFields &fields);
    // Records what the replica says in the head of its response about further requests.
    void recordAnnouncements();
    void recordLimit();
    void handleBody(std::string_view bytes);
    void forwardEvents(std::string_view bytes);
    // Reads on to the end of a response whose body isn't used, unless it is far too long.
    void discardBody(std::string_view bytes);
    // Makes room for so many bytes of the response. Ends the attempt and returns false if there is none.
    bool reserveBuffer(std::size_t bytes);
    void dropBuffer();
    // Ends the attempt because the replica sends something that is no response, or more than the host can hold.
    void breakOff(std::string_view reason);
    // Starts to measure the replica's speed by the attempt that is about to be sent.
    void startMeasuring();
    // Records the time of so many events that have just arrived.
    void measureEvents(std::uint64_t events);
    // Records the time of a complete response of a plain service.
    void measureResponse();
    void handleEnd(const Net::HttpResult &result);
    // Handles an attempt that the replica has broken off, by which it may have crashed.
    void handleBreak(const Net::HttpResult &result);
    void handleRejection(const Net::HttpResult &result);
    void handleInterruption(const Net::HttpResult &result);
    void handleResponse();
    // Ends the attempt because the response can't be the one to this request.
    void dropResponse();
    void forwardResponse(std::string body);
    void abandonAttempt();
    // Watches for a replica that falls silent, if the request may be continued elsewhere.
    void startIdleTimer();
    void startDeadlineTimer();
    // Pauses the response of the replica while the caller reads slowly. Time stands still for the request meanwhile:
    // neither its deadline nor the silence of its replica counts.
    void handleReaderState(Net::ReaderState state);
    void pauseResponse();
    void resumeResponse();
    // Counts the pause that is in progress, if any.
    void recordPauseEnded();
    // Whether the replica may have broken the response off because it went unread.
    [[nodiscard]] bool wasUnread() const;
    // Handles a response that the replica has broken off because it went unread, which is no failure of the replica.
    void handleUnreadBreak(const Net::HttpResult &result);
    void handleIdleTimer();
    [[nodiscard]] Core::Duration idleTimeout() const;
    // Whether the replica has sent nothing complete for the idle timeout.
    [[nodiscard]] bool isIdle() const;
    void abandonSilentAttempt();
    // Prepares another replica for a request whose replica is silent. The request stays where it is until the other
    // replica can take it, and for good if the response goes on before that.
    void prepareMove();
    void moveAttempt(const Fleet::Replica &replica, std::uint64_t version);
    void recordOutcome(Placement::AttemptOutcome outcome);
    // Records how long the replica took until its stream began or its response was complete.
    void recordResponse();
    // Whether the request, or a part of its prompt, crashes replicas.
    [[nodiscard]] bool isQuarantined() const;
    // Refuses the request and returns true if it or a part of its prompt crashes replicas.
    bool refuseIfQuarantined();
    // Records that the replica has answered long enough to show that it doesn't crash by the request.
    void recordHarmless();
    // Whether the replica has been answering too briefly to show that it doesn't crash by the request.
    [[nodiscard]] bool isUnproven() const;
    void endAttempt();
    void retryOrFail(std::string_view reason);
    void refuse(std::string_view reason, Core::Duration retryAfter);
    // How long the caller should stay away because all replicas are paused or at their limits; zero if
    // they aren't.
    [[nodiscard]] Core::Duration pauseLeft() const;
    void fail(unsigned status, std::string_view reason);
    void handleDeadline();
    // Ends the request with an answer that says whether it may have run.
    void endUnanswered(std::string_view reason);
    void handleCallerDisconnect();
    void end(unsigned status, std::string_view reason);
    [[nodiscard]] bool isIdempotent() const;
    [[nodiscard]] bool mayRunAgain() const;
    // Whether the head names this request. A replica may send the response to another one.
    [[nodiscard]] bool isHeadForRequest() const;
    [[nodiscard]] bool isUsableHead() const;
    // Whether the replica says of this request that it didn't run it.
    [[nodiscard]] bool isRejection() const;
    // Whether the head shows that the response can't be used, whatever its body is.
    [[nodiscard]] bool isUnusableResponse() const;
    // Whether the response is an event stream whose events are forwarded as they arrive.
    [[nodiscard]] bool isEventStream() const;
    // Why the response isn't the whole event stream that it seems to be; empty if it is or if it is something else. A
    // stream may have no events if its framing says so.
    [[nodiscard]] std::string_view streamDefect() const;
    [[nodiscard]] Core::Duration remaining() const;

    ForwardingDependencies m_dependencies;
    std::shared_ptr<Net::Exchange> m_exchange;
    CallerRequest m_request;
    // Of the request as a whole, by which it is recognised when it comes again, and of the shared parts of its prompt.
    std::vector<std::uint64_t> m_fingerprints;
    Routes::MatchedRoute m_route;
    RequestAccount m_account;
    std::string m_service;
    Stage m_stage = Stage::Selecting;
    Core::TimePoint m_startedAt {};
    Core::TimePoint m_deadline {};
    Core::TimerId m_deadlineTimer = Core::TimerId::None;

    std::set<Core::TargetId> m_excluded; // Replicas to which this request isn't sent again.
    unsigned m_possibleRuns = 0; // Attempts in which the request may have run.
    unsigned m_sends = 0;
    unsigned m_arrivals = 0; // Sends that may have reached a replica.
    unsigned m_loadRequests = 0; // Requests to holders to load the adapter, not counting those that only wait on.
    unsigned m_loadCalls = 0; // All messages to holders, to recognise the reply to the latest.
    bool m_isReportedMissing = false; // The selected replica has reported that it doesn't have the adapter.

    // The current attempt.
    Fleet::Replica m_replica;
    std::uint64_t m_version = 0; // Version of the adapter at the replica; zero without an adapter.
    Net::HttpRequestId m_transfer = Net::HttpRequestId::None;
    Core::TimePoint m_sentAt {};
    // When the attempt started, or its head, the last bytes of its body, or the last complete event of a stream
    // arrived.
    Core::TimePoint m_lastProgressAt {};
    Core::TimerId m_idleTimer = Core::TimerId::None;
    ResponseHead m_head;
    bool m_hasHead = false;
    bool m_hasResponseBody = false; // The first byte of the response body has arrived.
    std::optional<Core::TimePoint> m_answeringSince; // When the first event of the attempt arrived.
    bool m_isHarmless = false; // The replica has answered without crashing.
    // The events of the response show the speed of the replica. Those of a request whose adapter was just loaded don't.
    bool m_isMeasured = false;
    std::uint64_t m_tokensUntilFirstEvent = 0; // Zero if the time of the first event isn't measured.
    Placement::EventSpans m_eventSpans;
    std::string m_body; // Of a response that isn't an event stream.
    std::size_t m_discardedBytes = 0;
    Net::BufferBudget::Reservation m_buffer; // The body, or the incomplete event of a stream.

    // The response to the caller.
    EventSplitter m_events;
    bool m_isStreaming = false; // The head of the response has been sent to the caller.
    Core::TimePoint m_firstEventAt {};
    Core::TimePoint m_lastEventAt {};
    Core::Duration m_longestPause {}; // Between two events of the stream.
    std::optional<Core::TimePoint> m_unreadSince; // When the caller fell behind; none while it reads.
    Core::Duration m_unreadTime {}; // Of the current attempt, up to when the caller last caught up.
    bool m_awaitsReader = false; // The response continues elsewhere once the caller reads again.
};

}
