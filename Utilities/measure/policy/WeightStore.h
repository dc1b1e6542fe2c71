#pragma once

#include <LibCore/VirtualScheduler.h>
#include <functional>
#include <measure/policy/Deployment.h>

namespace Measure {

// The weight store: loads begin in the order in which they were asked for, no faster than its rate, and each takes
// longer while more of them are in flight than run at full speed.
class WeightStore
{
public:
    WeightStore(Core::VirtualScheduler &clock, const Deployment &deployment);

    // Calls the function when the load has ended, with whether it succeeded.
    void load(std::function<void(bool)> done);
    void setSlow(bool isSlow);
    void setFailing(bool isFailing);

private:
    Core::VirtualScheduler &m_clock;
    const Deployment &m_deployment;
    Core::TimePoint m_nextStart {};
    std::uint64_t m_count = 0;
    std::uint32_t m_inFlight = 0;
    bool m_isSlow = false;
    bool m_isFailing = false;
};

}
