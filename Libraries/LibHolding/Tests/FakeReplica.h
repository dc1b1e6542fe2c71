#pragma once

#include <LibCore/Scheduler.h>
#include <LibFleet/OrderLink.h>
#include <map>
#include <utility>

namespace Holding {

// A replica that carries out orders as the engines do: counts them, checks the expected count, loads in time, refuses
// others while a replacement or an unload waits for runs, and fails the test when more is ordered than fits.
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
        if (isUnreachable) {
            answer(done, Fleet::OrderOutcome::NotSent);
            return;
        }
        if (isLosingAnswers || (loseEvery != 0 && orderCalls % loseEvery == 0)) {
            if (lateBy > Core::Duration::zero()) {
                m_scheduler.runAfter(lateBy, [this, order] {
                    (void)carryOut(order);
                });
            } else {
                (void)carryOut(order);
            }
            answer(done, Fleet::OrderOutcome::Unknown);
            return;
        }
        answer(done, carryOut(order));
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
        settle();
        Fleet::ReplicaReport report {.orderCount = count, .isBusy = isBusy()};
        report.models.push_back({.model = "m", .version = 1});
        for (const auto &[name, copy] : adapters) {
            if (copy.readyAt <= m_scheduler.now()) {
                report.models.front().adapters.push_back({.adapter = name, .version = copy.version});
            } else {
                report.loadingAdapters.push_back("m/" + name + "@1");
            }
        }
        m_scheduler.runAfter(std::chrono::milliseconds(2), [done = std::move(done), report] {
            done(report);
        });
    }

    struct Copy {
        std::uint64_t version = 1;
        Core::TimePoint readyAt {};
        unsigned runs = 0;
    };

    [[nodiscard]] bool isThere(const std::string &name)
    {
        settle();
        const auto found = adapters.find(name);
        return found != adapters.end() && found->second.readyAt <= m_scheduler.now();
    }

    std::map<std::string, Copy> adapters;
    std::uint64_t count = 0;
    std::size_t most = 0; // Adapters that were there or coming at one time.
    std::size_t orderCalls = 0;
    std::size_t reportCalls = 0;
    std::size_t waits = 0; // Orders that had to wait for runs.
    std::size_t repeatedWaits = 0; // Of those, how often one was sent again.
    std::size_t conflicts = 0; // Orders that came meanwhile.
    std::vector<std::string> loads; // In the order in which they were accepted.
    Core::Duration loadTime = std::chrono::milliseconds(250);
    bool isUnreachable = false;
    bool isLosingAnswers = false;
    std::size_t loseEvery = 0; // Every so many orders has no answer; zero for none.
    bool isCountCheckedFirst = false; // Before it is looked whether the order holds already.
    Core::Duration lateBy {};

private:
    [[nodiscard]] bool isBusy() const
    {
        return m_pending.has_value();
    }

    void answer(const OrderFunction &done, Fleet::OrderOutcome outcome)
    {
        m_scheduler.runAfter(std::chrono::milliseconds(2), [done, outcome] {
            done(outcome, "");
        });
    }

    void settle()
    {
        if (m_pending.has_value() && adapters[m_pending->adapter].runs == 0) {
            apply(*std::exchange(m_pending, std::nullopt));
        }
    }

    void apply(const Fleet::ReplicaOrder &order)
    {
        if (order.verb == Fleet::OrderVerb::Unload) {
            // One that is on its way arrives all the same.
            if (const auto found = adapters.find(order.adapter);
                found != adapters.end() && found->second.readyAt <= m_scheduler.now()) {
                adapters.erase(found);
            }
            return;
        }
        adapters[order.adapter]
            = {.version = std::max<std::uint64_t>(order.version, 1), .readyAt = m_scheduler.now() + loadTime};
        loads.push_back(order.adapter);
        most = std::max(most, adapters.size());
    }

    Fleet::OrderOutcome carryOut(const Fleet::ReplicaOrder &order)
    {
        settle();
        if (isBusy() && m_pending->adapter == order.adapter && m_pending->verb == order.verb) {
            ++repeatedWaits;
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
        if (isPresent && found->second.runs > 0) {
            m_pending = order;
            ++waits;
            return Fleet::OrderOutcome::Accepted;
        }
        apply(order);
        return isLoad ? Fleet::OrderOutcome::Accepted : Fleet::OrderOutcome::Completed;
    }

    Core::Scheduler &m_scheduler;
    std::optional<Fleet::ReplicaOrder> m_pending;
};

}
