#pragma once

#include <LibCore/Scheduler.h>
#include <LibFleet/OrderLink.h>
#include <LibFleet/ReleaseTable.h>
#include <LibHolding/HoldingMessages.h>
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
    // While nothing is uncertain; reports are priced like probes.
    Core::Duration calmReportPeriod = std::chrono::milliseconds(2500);
    // While nothing can be loaded before the replica answers again or has its model.
    Core::Duration awaitedReportPeriod = std::chrono::milliseconds(250);
    // A report shows the state of some hundred milliseconds ago; what changed here since isn't corrected by it.
    Core::Duration reportLag = std::chrono::milliseconds(700);
    // Load times of an adapter: from the replica's own memory, and from the weight store.
    Core::Duration warmLoad = std::chrono::milliseconds(26);
    Core::Duration coldLoad = std::chrono::milliseconds(252);
    // Between two questions whether a load is complete.
    Core::Duration confirmPeriod = std::chrono::milliseconds(25);
    Core::Duration mostWait = std::chrono::milliseconds(1000); // Of a request for an adapter.
    // While every adapter there is in use, of a request that has no other replica to go to, and of one that has.
    Core::Duration mostWaitForSlot = std::chrono::milliseconds(700);
    Core::Duration shortWaitForSlot = std::chrono::milliseconds(150);
    // Expected until a place becomes free where every adapter is in use: part of a run.
    Core::Duration placeDelay = std::chrono::milliseconds(400);
    Core::Duration noLoadDelay
        = std::chrono::milliseconds(10000); // Stands for a replica at which nothing can be loaded.
    Core::Duration idleBeforeEviction = std::chrono::milliseconds(250);
    Core::Duration useNoticeLifetime = std::chrono::milliseconds(1500);
    // The requests of a host that has fallen silent may go on: about the length of a long run.
    Core::Duration silentUseLifetime = std::chrono::milliseconds(4000);
    // Of a request for an adapter while an earlier order waits for runs.
    Core::Duration mostWaitForRuns = std::chrono::milliseconds(150);
    // How long a refusal shows that the replica still refuses orders; the next request then tries again.
    Core::Duration refusalLifetime = std::chrono::milliseconds(120);
    // After this time an order that should wait for runs is no longer taken for the reason of a refusal.
    Core::Duration longestRun = std::chrono::milliseconds(8000);
    // Of an order, which is answered as soon as it is accepted, a few milliseconds after it was sent; doubles with each
    // repeat, for a host or a link that is slow.
    Core::Duration orderTimeout = std::chrono::milliseconds(120);
    unsigned mostRepeats = 3; // Of an order without an answer, before the replica's report is waited for.
    std::size_t mostInTransit = 4; // Adapters that a replica loads at a time.
    std::size_t mostWaiting = 64; // Requests for adapters that wait for an order.
};

// Gives orders to one replica, which only this host does: decides which adapters it has in memory, one order at a
// time, and never more than fit. An order without an answer counts as carried out and as not carried out, whichever is
// worse, until a later order or a report settles it.
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

    // Takes the replica's newest entry and its service's settings.
    void update(const Fleet::Replica &replica, const Routes::EngineSettings &engine);
    // Has an adapter loaded unless it is there already. The reply comes once, perhaps inside the call.
    void request(const AdapterRequest &request, ReplyFunction reply);
    // Takes what a host runs there.
    void recordUse(const Core::HostId &host, const ReplicaUse &use);
    // Reads reports and moves orders on; called regularly.
    void tick();

    [[nodiscard]] ReplicaLoad load() const;
    [[nodiscard]] ReplicaNotice notice() const;
    [[nodiscard]] const Fleet::Replica &replica() const;

private:
    enum class SlotState { Resident, Loading, Replacing, Unloading };
    struct Slot {
        std::uint64_t version = 0;
        SlotState state = SlotState::Resident;
        // The count of orders that the order named which would bring or drop it, while that order had no answer.
        std::optional<std::uint64_t> uncertainAt;
        bool isConfirming = false; // Its order is being repeated, to learn whether it is complete.
        bool isAssumedReady = false; // Its load must be complete, but the replica can't be asked now.
        Core::TimePoint changedAt {};
        Core::TimePoint lastUsed {};
        Core::TimePoint readyAt {};
        Core::TimePoint orderedAt {}; // When its load was sent.
        Core::Duration loadTime {}; // How long that was expected to take.
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

    void pump();
    void wakeForNextLoad();
    void serveWaiters();
    // Why the waiter can't have its adapter now; empty while it may still come.
    [[nodiscard]] std::string_view refusalReason(const Waiter &waiter) const;
    void logRefusal(const AdapterRequest &request, std::string_view reason) const;
    [[nodiscard]] bool isServable(const Waiter &waiter) const;
    // An older version is there and requests run on it, so that this replica can't have the newer one soon.
    [[nodiscard]] bool isOutdatedInUse(const Waiter &waiter) const;
    void orderLoad(const std::string &model, const std::string &adapter, std::uint64_t version);
    void orderUnload(const std::string &name);
    void sendOrder(Fleet::ReplicaOrder order, const std::string &name);
    void takeOutcome(const Fleet::ReplicaOrder &order, const std::string &name, Fleet::OrderOutcome outcome,
                     const std::string &detail);
    // The replica carries the order out or has done so; counted are those by which its count has risen.
    void takeAnswer(const Fleet::ReplicaOrder &order, const std::string &name, Fleet::OrderOutcome outcome,
                    bool isRepeat, bool isCounted);
    // It was refused, or has no answer after all its repeats.
    void takeFailure(const Fleet::ReplicaOrder &order, const std::string &name, Fleet::OrderOutcome outcome,
                     bool isRepeat);
    // The slot is as it was before an order that isn't carried out.
    void takeBack(std::map<std::string, Slot>::iterator slot);
    void settleUncertain(std::uint64_t acceptedAt);
    // Sends an order without an answer once more, at the same count: whichever of the two is carried out, the other one
    // can't be any more. Returns false when this isn't tried again.
    [[nodiscard]] bool repeatUnanswered(const Fleet::ReplicaOrder &order, const std::string &name);
    // No other adapter's order may still be carried out.
    [[nodiscard]] bool isOnlyUncertain(const std::string &name) const;
    // The replica refused the repeat, so it has carried out the order that had no answer.
    void takeAsCarriedOut(const Fleet::ReplicaOrder &order, const std::string &name);
    // An order of ours waits for runs at the replica, which refuses every other order meanwhile.
    [[nodiscard]] bool isWaitingForRuns() const;
    // It has done so for a while, and just did again.
    [[nodiscard]] bool isRefusingOrders() const;
    // The replica carries out orders again, so what waited for runs is done.
    void endWaitForRuns();
    // Takes back an order that was refused because an earlier one waits for runs.
    void takeRefusalWhileWaiting(const std::string &name, bool isRepeat);
    void readReport();
    void takeReport(const Fleet::ReplicaReport &report, Core::TimePoint askedAt);
    // Asks whether a load that should be complete is, by repeating its order. Returns whether it has asked.
    [[nodiscard]] bool confirmLoad();
    [[nodiscard]] bool loadMissingModel();
    [[nodiscard]] bool replaceOutdated();
    [[nodiscard]] std::size_t capacity() const;
    [[nodiscard]] std::size_t inTransit() const;
    [[nodiscard]] std::optional<std::string> victim() const;
    // Until the load of one more adapter would begin.
    [[nodiscard]] Core::Duration loadDelay() const;
    // How long after a report the next one is read.
    [[nodiscard]] Core::Duration reportDelay() const;
    [[nodiscard]] bool isIdle(const std::pair<const std::string, Slot> &slot) const;
    [[nodiscard]] bool isInUse(const std::string &name) const;
    [[nodiscard]] Core::Duration expectedLoadTime(const std::string &name, std::uint64_t version) const;

    Core::Scheduler &m_scheduler;
    Fleet::OrderLink &m_link;
    ReplicaControllerOptions m_options;
    FenceFunction m_fence;
    const Fleet::ReleaseTable &m_releases; // Newer versions replace older copies when these are idle.
    Fleet::Replica m_replica;
    Routes::EngineSettings m_engine;
    std::map<std::string, Slot> m_slots; // By "model/adapter".
    std::set<std::string> m_models; // In memory.
    std::set<std::string> m_atHand; // Adapters that load fast, as "model/adapter@version".
    std::deque<Waiter> m_waiters;
    std::map<Core::HostId, HostUse> m_uses;
    std::optional<std::uint64_t> m_orderCount; // Orders that the replica has accepted; unknown before a report.
    Core::TimePoint m_countAsOf {};
    Core::TimePoint m_noOrderBefore {};
    bool m_isOrdering = false;
    bool m_isReporting = false;
    bool m_isModelLoading = false;
    bool m_isUnreachable = false; // By the last order.
    unsigned m_unanswered = 0; // Orders in a row that had no answer.
    bool m_isSecondCopy = false; // The order under way repeats one that had no answer.
    std::optional<Core::TimePoint> m_waitsForRunsSince;
    Core::TimePoint m_refusedAt {}; // While an order waited for runs.
    Core::TimePoint m_nextReport {};
    Core::TimerId m_timer = Core::TimerId::None;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
