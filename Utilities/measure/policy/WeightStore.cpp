#include <measure/policy/WeightStore.h>

#include <algorithm>

namespace Measure {

namespace {

constexpr int Slowdown = 4;
constexpr std::uint64_t FailurePeriod = 3;

}

WeightStore::WeightStore(Core::VirtualScheduler &clock, const Deployment &deployment)
    : m_clock(clock)
    , m_deployment(deployment)
{
}

void WeightStore::load(std::function<void(bool)> done)
{
    const std::chrono::duration<double> spacing((m_isSlow ? Slowdown : 1) / m_deployment.loadsPerSecond);
    const auto start = std::max(m_clock.now(), m_nextStart);
    m_nextStart = start + std::chrono::duration_cast<Core::Duration>(spacing);
    ++m_inFlight;
    const double stretch = std::max(1.0, static_cast<double>(m_inFlight) / m_deployment.loadsAtFullSpeed);
    const std::chrono::duration<double> fullSpeed(m_deployment.loadTime);
    const auto taken = fullSpeed * stretch * (m_isSlow ? Slowdown : 1);
    const bool isLoaded = !m_isFailing || ++m_count % FailurePeriod != 0;
    const auto end = start - m_clock.now() + std::chrono::duration_cast<Core::Duration>(taken);
    m_clock.runAfter(end, [this, isLoaded, done = std::move(done)] {
        --m_inFlight;
        done(isLoaded);
    });
}

void WeightStore::setSlow(bool isSlow)
{
    m_isSlow = isSlow;
}

void WeightStore::setFailing(bool isFailing)
{
    m_isFailing = isFailing;
}

}
