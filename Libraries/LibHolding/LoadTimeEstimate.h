#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>

namespace Holding {

struct LoadTimeEstimateOptions {
    Core::Duration nominalTime = std::chrono::milliseconds(252); // Of a load from the weight store at full speed.
    // The weight of the newest load in the average.
    double newestWeight = 0.3;
    // Without further loads for this long, half of the deviation from the nominal time is forgotten in each such time.
    Core::Duration halfLife = std::chrono::milliseconds(1000);
    std::size_t maxConcurrentLoads = 4; // Of one replica.
    Core::Duration minConfirmPeriod = std::chrono::milliseconds(25);
    // The first check of a load isn't later than the shortest of so many loads before it.
    std::size_t shortestOf = 8;
};

// Which check of a load found it complete.
enum class LoadCheck { First, Later };

// Estimates how long a load from the weight store takes at present, from the loads of one replica. The store serves all
// replicas at a limited rate, so that loads take longer when many are in progress anywhere. Further concurrent loads
// then only occupy slots of the replica without ending earlier.
class LoadTimeEstimate
{
public:
    explicit LoadTimeEstimate(LoadTimeEstimateOptions options = {});

    // Records how long a load from the weight store took, and which check noticed its end.
    void recordLoad(Core::Duration duration, LoadCheck check, Core::TimePoint now);
    [[nodiscard]] Core::Duration loadTime(Core::TimePoint now) const;
    // When a load is checked for its end first, counted from its order. Every check is an order to the replica, so that
    // none is made before a load is likely to have ended. After a load that had ended by its first check the next one
    // is checked earlier, since later checks would show no load that takes less time.
    [[nodiscard]] Core::Duration firstCheckTime() const;
    // By how much loads currently take longer than at full speed.
    [[nodiscard]] Core::Duration excess(Core::TimePoint now) const;
    // How many loads the replica should have in progress at the same time: fewer while loads take several times as long
    // as at full speed.
    [[nodiscard]] std::size_t concurrentLoads(Core::TimePoint now) const;
    // Interval between checks whether a load has ended: a small part of the time that loads take.
    [[nodiscard]] Core::Duration confirmPeriod(Core::TimePoint now) const;

private:
    LoadTimeEstimateOptions m_options;
    Core::Duration m_average {}; // As of the last load.
    Core::TimePoint m_lastLoadAt {};
    Core::Duration m_firstCheckTime {};
    std::deque<Core::Duration> m_latest; // Durations of the last loads as noticed.
};

}
