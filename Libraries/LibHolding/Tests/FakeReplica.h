#pragma once

#include <LibCore/Scheduler.h>
#include <LibFleet/OrderLink.h>
#include <functional>
#include <map>
#include <utility>

namespace Holding {

// A replica that executes orders like the engines: it counts them, checks the expected count, takes time for loads, and
// refuses other orders while a replacement or an unload waits for running requests. It records the maximum number of
// adapters, so that tests can check the capacity.
class FakeReplica final : public Fleet::OrderLink
{
public:
    explicit FakeReplica(Core::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    void order(const Fleet::Replica & /*replica*/, const Fleet::ReplicaOrder &order, OrderFunction done) override
    {
        ++orderCalls;
        freshConnections += order.needsFreshConnection ? 1 : 0;
        onOrder();
        if (isUnreachable) {
            respond(done, Fleet::OrderOutcome::NotSent);
            return;
        }
        if (connectTime > Core::Duration::zero()) {
            m_scheduler.runAfter(connectTime, [this, order, done = std::move(done)] {
                done(order.isPermitted() ? execute(order) : Fleet::OrderOutcome::NotSent, "");
            });
            return;
        }
        if (isDroppingResponses || (dropEvery != 0 && orderCalls % dropEvery == 0)) {
            if (executionDelay > Core::Duration::zero()) {
                m_scheduler.runAfter(executionDelay, [this, order] {
                    (void)execute(order);
                });
            } else {
                (void)execute(order);
            }
            respond(done, Fleet::OrderOutcome::Unknown);
            return;
        }
        respond(done, execute(order));
    }

    void report(const Fleet::Replica & /*replica*/, ReportFunction done) override
    {
        ++reportCalls;
        if (isUnreachable) {
            m_scheduler.runAfter(std::chrono::milliseconds(2), [done = std::move(done)] {
                done(std::nullopt);
            });
            return;
        }
        completePending();
        Fleet::ReplicaReport report {.orderCount = count, .isBusy = isBusy()};
        report.models.push_back({.model = "m", .version = 1});
        for (const auto &[name, loaded] : adapters) {
            if (loaded.readyAt <= m_scheduler.now()) {
                report.models.front().adapters.push_back({.adapter = name, .version = loaded.version});
            } else {
                report.loadingAdapters.push_back("m/" + name + "@1");
            }
        }
        m_scheduler.runAfter(std::chrono::milliseconds(2), [done = std::move(done), report] {
            done(report);
        });
    }

    struct LoadedAdapter {
        std::uint64_t version = 1;
        Core::TimePoint readyAt {};
        unsigned activeRequests = 0;
    };

    [[nodiscard]] bool isLoaded(const std::string &name)
    {
        completePending();
        const auto found = adapters.find(name);
        return found != adapters.end() && found->second.readyAt <= m_scheduler.now();
    }

    std::map<std::string, LoadedAdapter> adapters;
    std::uint64_t count = 0;
    std::size_t maxAdapters = 0; // Loaded or loading at the same time.
    std::size_t orderCalls = 0;
    std::size_t reportCalls = 0;
    std::size_t freshConnections = 0; // Orders that asked for a connection of their own.
    std::function<void()> onOrder = [] {};
    std::size_t delayedOrders = 0; // Orders that had to wait for running requests.
    std::size_t repeatedDelayedOrders = 0; // How often one of those was sent again.
    std::size_t conflicts = 0; // Orders refused while another one waited.
    std::vector<std::string> loads; // In the order in which they were accepted.
    Core::Duration loadTime = std::chrono::milliseconds(250);
    Core::Duration connectTime {}; // From the decision to send an order until its first byte is sent.
    bool isUnreachable = false;
    bool isDroppingResponses = false;
    std::size_t dropEvery = 0; // One in this many orders gets no response; zero for none.
    bool isCountCheckedFirst = false; // Before checking whether the order is already satisfied.
    Core::Duration executionDelay {}; // Of orders without a response.

private:
    [[nodiscard]] bool isBusy() const
    {
        return m_pending.has_value();
    }

    void respond(const OrderFunction &done, Fleet::OrderOutcome outcome)
    {
        m_scheduler.runAfter(std::chrono::milliseconds(2), [done, outcome] {
            done(outcome, "");
        });
    }

    void completePending()
    {
        if (m_pending.has_value() && adapters[m_pending->adapter].activeRequests == 0) {
            apply(*std::exchange(m_pending, std::nullopt));
        }
    }

    void apply(const Fleet::ReplicaOrder &order)
    {
        if (order.verb == Fleet::OrderVerb::Unload) {
            // An adapter that is still loading can't be unloaded.
            if (const auto found = adapters.find(order.adapter);
                found != adapters.end() && found->second.readyAt <= m_scheduler.now()) {
                adapters.erase(found);
            }
            return;
        }
        adapters[order.adapter]
            = {.version = std::max<std::uint64_t>(order.version, 1), .readyAt = m_scheduler.now() + loadTime};
        loads.push_back(order.adapter);
        maxAdapters = std::max(maxAdapters, adapters.size());
    }

    Fleet::OrderOutcome execute(const Fleet::ReplicaOrder &order)
    {
        completePending();
        if (isBusy() && m_pending->adapter == order.adapter && m_pending->verb == order.verb) {
            ++repeatedDelayedOrders;
            return Fleet::OrderOutcome::Accepted;
        }
        if (isBusy()) {
            ++conflicts;
            return Fleet::OrderOutcome::Conflict;
        }
        if (isCountCheckedFirst && order.expectedOrderCount != count) {
            return Fleet::OrderOutcome::Conflict;
        }
        const auto found = adapters.find(order.adapter);
        const bool isPresent = found != adapters.end();
        const bool isLoad = order.verb == Fleet::OrderVerb::Load;
        if (isLoad && isPresent && found->second.version >= order.version) {
            return found->second.readyAt <= m_scheduler.now() ? Fleet::OrderOutcome::Completed
                                                              : Fleet::OrderOutcome::Accepted;
        }
        if (order.expectedOrderCount != count) {
            return Fleet::OrderOutcome::Conflict;
        }
        ++count;
        if (isPresent && found->second.activeRequests > 0) {
            m_pending = order;
            ++delayedOrders;
            return Fleet::OrderOutcome::Accepted;
        }
        apply(order);
        return isLoad ? Fleet::OrderOutcome::Accepted : Fleet::OrderOutcome::Completed;
    }

    Core::Scheduler &m_scheduler;
    std::optional<Fleet::ReplicaOrder> m_pending;
};

}
