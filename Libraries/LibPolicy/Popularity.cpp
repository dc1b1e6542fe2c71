#include <LibPolicy/Popularity.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace Policy {

namespace {

constexpr double TrustStep = 0.02;
constexpr double LeastTrust = 0.05;
constexpr double MostTrust = 0.95;

double decay(double count, Core::Duration age, Core::Duration halfLife)
{
    return count * std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}

// The rate in requests a second whose decayed count settles at the given one.
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
    if (counts.advocate == Counts::Advocate::Short) {
        m_shortTrust = std::min(MostTrust, m_shortTrust + TrustStep);
    } else if (counts.advocate == Counts::Advocate::Long) {
        m_shortTrust = std::max(LeastTrust, m_shortTrust - TrustStep);
    }
    counts.advocate = Counts::Advocate::None;
    counts.longCount += 1;
    counts.shortCount += 1;
    counts.countedAt = now;
    m_counts[adapter] = counts;
    if (m_counts.size() > m_options.mostAdapters) {
        forgetUnpopular(now);
    }
}

double Popularity::rate(const Core::AdapterVersion &adapter, Core::TimePoint now) const
{
    const auto counts = countsAt(adapter, now);
    return (1 - m_shortTrust) * toRate(counts.longCount, m_options.longHalfLife)
        + m_shortTrust * toRate(counts.shortCount, m_options.shortHalfLife);
}

void Popularity::recordEviction(const Core::AdapterVersion &victim, const Core::AdapterVersion &kept,
                                Core::TimePoint now)
{
    const auto gone = countsAt(victim, now);
    const auto stayed = countsAt(kept, now);
    const bool isLongFor = gone.longCount > stayed.longCount;
    const bool isShortFor = gone.shortCount > stayed.shortCount;
    if (const auto found = m_counts.find(victim); found != m_counts.end() && isLongFor != isShortFor) {
        found->second.advocate = isLongFor ? Counts::Advocate::Long : Counts::Advocate::Short;
    }
}

double Popularity::shortTrust() const
{
    return m_shortTrust;
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

void Popularity::forgetUnpopular(Core::TimePoint now)
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
