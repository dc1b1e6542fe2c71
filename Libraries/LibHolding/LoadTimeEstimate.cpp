#include <LibHolding/LoadTimeEstimate.h>

#include <algorithm>
#include <cmath>

namespace Holding {

namespace {

// A load is checked for its end this many times in the time that it takes.
constexpr int ChecksPerLoad = 20;

}

LoadTimeEstimate::LoadTimeEstimate(LoadTimeEstimateOptions options)
    : m_options(options)
    , m_average(options.nominalTime)
    , m_firstCheckTime(options.nominalTime)
{
}

void LoadTimeEstimate::recordLoad(Core::Duration duration, LoadCheck check, Core::TimePoint now)
{
    // The end of a load is noticed up to one period late.
    const auto change = (duration - m_options.minConfirmPeriod - loadTime(now)) * m_options.newestWeight;
    m_average = std::max(m_options.nominalTime, loadTime(now) + std::chrono::duration_cast<Core::Duration>(change));
    m_lastLoadAt = now;
    m_latest.push_back(duration);
    if (m_latest.size() > m_options.shortestOf) {
        m_latest.pop_front();
    }
    // Halving what is left above the nominal time finds the time of a store that has become fast within a few loads.
    m_firstCheckTime = check == LoadCheck::First
        ? m_options.nominalTime + std::max<Core::Duration>(m_firstCheckTime - m_options.nominalTime, {}) / 2
        : std::max(m_options.nominalTime, *std::min_element(m_latest.begin(), m_latest.end()));
}

Core::Duration LoadTimeEstimate::loadTime(Core::TimePoint now) const
{
    return m_options.nominalTime + excess(now);
}

Core::Duration LoadTimeEstimate::firstCheckTime() const
{
    return m_firstCheckTime;
}

Core::Duration LoadTimeEstimate::excess(Core::TimePoint now) const
{
    const std::chrono::duration<double> halfLife = m_options.halfLife;
    const auto age = std::max(std::chrono::duration<double>(now - m_lastLoadAt) - halfLife, {});
    const auto remaining = (m_average - m_options.nominalTime) * std::exp2(-age / halfLife);
    return std::chrono::duration_cast<Core::Duration>(remaining);
}

std::size_t LoadTimeEstimate::concurrentLoads(Core::TimePoint now) const
{
    const auto slowdown = static_cast<std::size_t>(loadTime(now) / m_options.nominalTime);
    return std::max<std::size_t>(1, m_options.maxConcurrentLoads / std::max<std::size_t>(1, slowdown));
}

Core::Duration LoadTimeEstimate::confirmPeriod(Core::TimePoint now) const
{
    return std::max(m_options.minConfirmPeriod, loadTime(now) / ChecksPerLoad);
}

}
