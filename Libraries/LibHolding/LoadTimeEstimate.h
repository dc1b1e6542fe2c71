#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Holding {

struct LoadTimeEstimateOptions {
    Core::Duration nominalTime = std::chrono::milliseconds(252); // Of a load from the weight store at full speed.
    // The weight of the newest load in the average.
    double newestWeight = 0.3;
    // Without further loads for this long, half of the deviation from the nominal time is forgotten in each such time.
    Core::Duration halfLife = std::chrono::milliseconds(1000);
    std::size_t maxConcurrentLoads = 4; // Of one replica.
    Core::Duration minConfirmPeriod = std::chrono::milliseconds(25);
};

// Estimates how long a load from the weight store takes at present, from the loads of one replica. The store serves all
// replicas at a limited rate, so that loads take longer when many are in progress anywhere. Further concurrent loads
// then only occupy slots of the replica without ending earlier.
class LoadTimeEstimate
{
public:
    explicit LoadTimeEstimate(LoadTimeEstimateOptions options = {});

    // Records how long a load from the weight store took.
    void recordLoad(Core::Duration duration, Core::TimePoint now);
    [[nodiscard]] Core::Duration loadTime(Core::TimePoint now) const;
    // The time of a load at full speed. A load is checked for its end from then on, since later checks would show no
    // load that takes less time than the estimate.
    [[nodiscard]] Core::Duration nominalTime() const;
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
};

}
