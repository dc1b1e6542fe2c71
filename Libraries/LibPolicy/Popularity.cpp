#include <LibPolicy/Popularity.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace Policy {

namespace {

constexpr double WeightStep = 0.02;
constexpr double MinWeight = 0.05;
constexpr double MaxWeight = 0.95;

double decay(double count, Core::Duration age, Core::Duration halfLife)
{
    return count * std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}

// Returns the request rate per second at which the decayed count converges to the given one.
double toRate(double count, Core::Duration halfLife)
{
    return count * std::log(2.0) / std::chrono::duration<double>(halfLife).count();
}

}

Popularity::Popularity(PopularityOptions options)
    : m_options(options)
{
}

void Popularity::count(const Core::AdapterVersion &adapter, Core::TimePoint now)
{
    auto counts = countsAt(adapter, now);
    if (counts.dissent == Counts::Dissent::Short) {
        m_shortWeight = std::min(MaxWeight, m_shortWeight + WeightStep);
    } else if (counts.dissent == Counts::Dissent::Long) {
        m_shortWeight = std::max(MinWeight, m_shortWeight - WeightStep);
    }
    counts.dissent = Counts::Dissent::None;
    counts.longCount += 1;
    counts.shortCount += 1;
    counts.countedAt = now;
    m_counts[adapter] = counts;
    if (m_counts.size() > m_options.maxAdapters) {
        removeLeastPopular(now);
    }
}

double Popularity::rate(const Core::AdapterVersion &adapter, Core::TimePoint now) const
{
    const auto counts = countsAt(adapter, now);
    return (1 - m_shortWeight) * toRate(counts.longCount, m_options.longHalfLife)
        + m_shortWeight * toRate(counts.shortCount, m_options.shortHalfLife);
}

void Popularity::recordEviction(const Core::AdapterVersion &victim, const Core::AdapterVersion &successor,
                                Core::TimePoint now)
{
    const auto victimCounts = countsAt(victim, now);
    const auto successorCounts = countsAt(successor, now);
    const bool isKeptByLongHalfLife = victimCounts.longCount > successorCounts.longCount;
    const bool isKeptByShortHalfLife = victimCounts.shortCount > successorCounts.shortCount;
    if (const auto found = m_counts.find(victim);
        found != m_counts.end() && isKeptByLongHalfLife != isKeptByShortHalfLife) {
        found->second.dissent = isKeptByLongHalfLife ? Counts::Dissent::Long : Counts::Dissent::Short;
    }
}

double Popularity::shortWeight() const
{
    return m_shortWeight;
}

Popularity::Counts Popularity::countsAt(const Core::AdapterVersion &adapter, Core::TimePoint now) const
{
    const auto found = m_counts.find(adapter);
    if (found == m_counts.end()) {
        return {.countedAt = now};
    }
    auto counts = found->second;
    const auto age = now - counts.countedAt;
    counts.longCount = decay(counts.longCount, age, m_options.longHalfLife);
    counts.shortCount = decay(counts.shortCount, age, m_options.shortHalfLife);
    return counts;
}

void Popularity::removeLeastPopular(Core::TimePoint now)
{
    std::vector<std::pair<double, Core::AdapterVersion>> byRate;
    byRate.reserve(m_counts.size());
    for (const auto &[adapter, counts] : m_counts) {
        byRate.emplace_back(rate(adapter, now), adapter);
    }
    const auto middle = byRate.begin() + static_cast<std::ptrdiff_t>(byRate.size() / 2);
    std::nth_element(byRate.begin(), middle, byRate.end());
    std::for_each(byRate.begin(), middle, [this](const auto &entry) {
        m_counts.erase(entry.second);
    });
}

}
