#pragma once

#include <LibCore/Scheduler.h>
#include <LibFleet/OrderLink.h>
#include <LibFleet/ReleaseTable.h>
#include <LibHolding/HoldingMessages.h>
#include <LibHolding/LoadTimeEstimate.h>
#include <LibPlacement/ResponseTimes.h>
#include <LibRoutes/RouteConfiguration.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Holding {

struct ReplicaControllerOptions {
    Core::HostId self;
    Core::Duration reportPeriod = std::chrono::milliseconds(1000);
    // While nothing is uncertain. Longer because reports cost as much as probes.
    Core::Duration steadyReportPeriod = std::chrono::milliseconds(2500);
    // While nothing can be loaded because the replica is unreachable or has no model yet.
    Core::Duration unavailableReportPeriod = std::chrono::milliseconds(250);
    // A report shows the state of a few hundred milliseconds ago and doesn't override changes made here since then.
    Core::Duration reportLag = std::chrono::milliseconds(700);
    Core::Duration warmLoadTime = std::chrono::milliseconds(26); // Of an adapter from the cache of the replica.
    LoadTimeEstimateOptions coldLoads; // Loads from the weight store.
    // Timeout of a request for an adapter. If the adapter is being loaded then, the reply says so.
    Core::Duration maxWait = std::chrono::milliseconds(1000);
    // Timeouts of a request while every adapter of the replica is in use: without and with another replica to go to.
    Core::Duration maxWaitForSlot = std::chrono::milliseconds(700);
    Core::Duration shortWaitForSlot = std::chrono::milliseconds(150);
    // Expected time until a slot becomes free when every adapter is in use: part of the duration of a request.
    Core::Duration slotDelay = std::chrono::milliseconds(400);
    Core::Duration unavailableLoadDelay = std::chrono::milliseconds(10000); // Reported while nothing can be loaded.
    Core::Duration idleBeforeEviction = std::chrono::milliseconds(250);
    Core::Duration useNoticeLifetime = std::chrono::milliseconds(1500);
    // The requests of an unresponsive host may still be running. About the duration of a long request.
    Core::Duration unresponsiveHostUseLifetime = std::chrono::milliseconds(4000);
    // Requests for adapters fail once an earlier order has been waiting for running requests for this long.
    Core::Duration maxWaitForRequests = std::chrono::milliseconds(150);
    // How long the replica is assumed to refuse orders after a refusal; after that the next request tries again.
    Core::Duration refusalLifetime = std::chrono::milliseconds(120);
    // After this time an order that waits for running requests is no longer considered the cause of a refusal.
    Core::Duration maxRequestDuration = std::chrono::milliseconds(8000);
    // Orders are acknowledged as soon as they are accepted, within a few milliseconds. Doubles with each retry, to
    // allow for a slow host or link.
    Core::Duration orderTimeout = std::chrono::milliseconds(120);
    unsigned maxRetries = 3; // Of an unacknowledged order, before waiting for a report.
    std::size_t maxWaiters = 64; // Pending requests for adapters.
};

// Sends load and unload orders to one replica, one at a time, and so decides which adapters it has in memory, never
// more than fit. Only the holder of a replica sends orders to it. The outcome of an order without a response is
// uncertain until a later order or a report resolves it; until then the worse of the two outcomes is assumed.
class ReplicaController
{
public:
    using FenceFunction = std::function<std::optional<std::uint64_t>(const Core::TargetId &)>;
    using ReplyFunction = std::function<void(const AdapterReply &)>;

    ReplicaController(Core::Scheduler &scheduler, Fleet::OrderLink &link, ReplicaControllerOptions options,
                      FenceFunction fence, const Fleet::ReleaseTable &releases, Fleet::Replica replica,
                      Routes::EngineSettings engine);
    ~ReplicaController();
    ReplicaController(const ReplicaController &) = delete;
    ReplicaController &operator=(const ReplicaController &) = delete;

    // Applies the newest entry of the replica and the settings of its service.
    void update(const Fleet::Replica &replica, const Routes::EngineSettings &engine);
    // Loads an adapter unless it is in memory. The reply function runs once, possibly before this function returns.
    void request(const AdapterRequest &request, ReplyFunction reply);
    // Records the requests that a host runs on the replica.
    void recordUse(const Core::HostId &host, const ReplicaUse &use);
    // Reads reports and sends orders that are due. To be called periodically.
    void tick();

    [[nodiscard]] ReplicaLoad load() const;
    [[nodiscard]] ReplicaNotice notice() const;
    [[nodiscard]] const Fleet::Replica &replica() const;

private:
    enum class SlotState { Resident, Loading, Replacing, Unloading };
    // What a report proves about an order without an answer.
    enum class Proof {
        Accepted, // The replica has accepted the order.
        OneOfSeveral, // The replica has accepted this order or another one; the adapters in the report show which.
    };
    // The state of one adapter that occupies memory of the replica.
    struct Slot {
        std::uint64_t version = 0;
        SlotState state = SlotState::Resident;
        // The expected count of the load or unload order for this adapter while the outcome of that order is unknown.
        std::optional<std::uint64_t> uncertainOrderCount;
        bool isConfirming = false; // Its load order is being repeated to check for completion.
        bool isAssumedReady = false; // The load should be complete, but can't be confirmed at present.
        Core::TimePoint changedAt {};
        Core::TimePoint lastUsed {};
        Core::TimePoint readyAt {};
        Core::TimePoint orderedAt {}; // When the load order was sent.
        Core::Duration loadTime {}; // Expected duration of the load.
        unsigned checks = 0; // Answered checks whether the load has ended.
    };
    struct Waiter {
        AdapterRequest request;
        ReplyFunction reply;
        Core::TimePoint since {};
    };
    struct HostUse {
        ReplicaUse use;
        Core::TimePoint at {};
    };

    void sendNextOrder();
    void wakeForNextLoad();
    void replyToWaiters();
    // Why the adapter can't be provided to the waiter; empty while it still may be.
    [[nodiscard]] std::string_view refusalReason(const Waiter &waiter) const;
    void logRefusal(const AdapterRequest &request, std::string_view reason) const;
    [[nodiscard]] bool isServable(const Waiter &waiter) const;
    // True if the adapter is being loaded from the weight store or the cache, so that waiting on will end.
    [[nodiscard]] bool isBeingLoaded(const Waiter &waiter) const;
    // Requests run on an older version of the adapter, so that this replica can't load the newer one soon.
    [[nodiscard]] bool isOutdatedInUse(const Waiter &waiter) const;
    void orderLoad(const std::string &model, const std::string &adapter, std::uint64_t version);
    void orderUnload(const std::string &name);
    void sendOrder(Fleet::ReplicaOrder order, const std::string &name);
    void handleOutcome(const Fleet::ReplicaOrder &order, const std::string &name, Fleet::OrderOutcome outcome,
                       const std::string &detail);
    // Called if the replica executes the order or has executed it. isCounted tells whether its order count has
    // increased.
    void handleSuccess(const Fleet::ReplicaOrder &order, const std::string &name, Fleet::OrderOutcome outcome,
                       bool isConfirmation, bool isCounted);
    // Called if the order was refused or has no response after all retries.
    void handleFailure(const Fleet::ReplicaOrder &order, const std::string &name, Fleet::OrderOutcome outcome,
                       bool isConfirmation);
    // Restores the state of the slot before an order that wasn't executed.
    void revertSlot(std::map<std::string, Slot>::iterator slot);
    void resolveUncertain(std::uint64_t acceptedAt);
    // Sends an order without a response again, with the same expected count, so that at most one of the two is
    // executed. Returns false if the order is not to be retried.
    [[nodiscard]] bool retryUnanswered(const Fleet::ReplicaOrder &order, const std::string &name);
    // True if no order for another adapter has an unknown outcome.
    [[nodiscard]] bool isOnlyUncertainSlot(const std::string &name) const;
    // True once an order that an earlier holder of the replica sent can't be executed any more. Such an order expects
    // at most the count at which this controller's first order was accepted.
    [[nodiscard]] bool isOnlySender() const;
    // Called if the replica refused the retry, which shows that it has executed the order without a response.
    void recordExecuted(const Fleet::ReplicaOrder &order, const std::string &name);
    // True while an order waits for running requests at the replica, which refuses all other orders in the meantime.
    [[nodiscard]] bool isWaitingForRequests() const;
    // True if the replica has been refusing orders for this reason for some time and still did recently.
    [[nodiscard]] bool isRefusingOrders() const;
    // Called if the replica executes orders again, so that the order that waited for running requests has completed.
    void endWaitForRequests();
    // Reverts an order that was refused because an earlier one waits for running requests.
    void handleRefusalWhileWaiting(const std::string &name, bool isConfirmation);
    void readReport();
    void applyReport(const Fleet::ReplicaReport &report, Core::TimePoint askedAt);
    // What the report proves about the orders without an answer, by the name of the adapter. Orders of which it proves
    // nothing are left out.
    [[nodiscard]] std::map<std::string, Proof> proofsOf(const Fleet::ReplicaReport &report) const;
    // Repeats the order of a load that should be complete, to check whether it is. Returns true if an order was sent.
    [[nodiscard]] bool confirmLoad();
    [[nodiscard]] bool loadMissingModel();
    [[nodiscard]] bool replaceOutdated();
    [[nodiscard]] std::size_t capacity() const;
    [[nodiscard]] std::size_t loadsInProgress() const;
    // The adapter to evict next: the least recently used idle one.
    [[nodiscard]] std::optional<std::string> victim() const;
    // Expected time until the load of another adapter could start.
    [[nodiscard]] Core::Duration loadDelay() const;
    // Interval until the next report.
    [[nodiscard]] Core::Duration reportDelay() const;
    [[nodiscard]] bool isIdle(const std::pair<const std::string, Slot> &slot) const;
    [[nodiscard]] bool isInUse(const std::string &name) const;
    [[nodiscard]] Core::Duration expectedLoadTime(const std::string &name, std::uint64_t version) const;

    Core::Scheduler &m_scheduler;
    Fleet::OrderLink &m_link;
    ReplicaControllerOptions m_options;
    FenceFunction m_fence;
    const Fleet::ReleaseTable &m_releases; // Idle adapters are replaced by newer versions.
    Fleet::Replica m_replica;
    Routes::EngineSettings m_engine;
    std::map<std::string, Slot> m_slots; // By "model/adapter".
    std::set<std::string> m_models; // Models in memory.
    LoadTimeEstimate m_coldLoads;
    std::set<std::string> m_cachedAdapters; // Adapters that load quickly, as "model/adapter@version".
    std::deque<Waiter> m_waiters;
    std::map<Core::HostId, HostUse> m_uses;
    Placement::ResponseTimes m_eventTimes; // Microseconds, from the reports of all hosts.
    Placement::ResponseTimes m_prefillTimes; // Microseconds for each thousand tokens.
    std::optional<std::uint64_t> m_orderCount; // Orders accepted by the replica; unknown before the first report.
    Core::TimePoint m_countAsOf {};
    Core::TimePoint m_nextOrderAt {};
    bool m_hasOrderInFlight = false;
    bool m_hasReportInFlight = false;
    bool m_isModelLoading = false;
    bool m_isUnreachable = false; // As seen by the last order.
    std::uint64_t m_orderFence = 0; // Of the order that is being sent, read once when it is decided.
    unsigned m_acceptedOrders = 0; // Of this controller, since the replica started.
    unsigned m_unanswered = 0; // Consecutive orders without a response.
    bool m_isRetry = false; // The order in flight is a retry of one without a response.
    std::optional<Core::TimePoint> m_waitingForRequestsSince;
    Core::TimePoint m_refusedWhileWaitingAt {};
    Core::TimePoint m_nextReport {};
    Core::TimerId m_timer = Core::TimerId::None;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
