#include <LibPlacement/ResponseTimes.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Placement {

namespace {

// With fewer samples, the lasting mean may still be that of a stall and doesn't bound the next sample.
constexpr double MinSamplesToBound = 4;
// A single sample of half a minute ago counts less than this.
constexpr double MinSamples = 0.01;

}

ResponseTimesOptions ResponseTimesOptions::forRareResponses()
{
    return {.recentWindow = std::chrono::milliseconds(400), .minRecentSamples = 1, .minStall = 1.6, .clearStall = 2};
}

ResponseTimes::ResponseTimes(ResponseTimesOptions options)
    : m_options(options)
{
}

ResponseTimes::Lasting ResponseTimes::lasting(Core::TimePoint now) const
{
    const auto halves
        = std::chrono::duration<double>(now - m_lasting.at) / std::chrono::duration<double>(m_options.lastingHalfLife);
    const auto factor = std::exp2(-std::max(0.0, halves));
    return {.sum = m_lasting.sum * factor,
            .weight = m_lasting.weight * factor,
            .samples = m_lasting.samples * factor,
            .since = m_lasting.since,
            .at = now};
}

void ResponseTimes::record(double time, double samples, Core::TimePoint now)
{
    if (!std::isfinite(time) || !std::isfinite(samples) || time <= 0 || samples <= 0) {
        return;
    }
    m_lasting = lasting(now);
    if (m_lasting.samples < MinSamples) {
        m_lasting = {.since = now, .at = now};
    }
    auto bounded = time;
    auto weight = samples;
    if (m_lasting.samples >= MinSamplesToBound) {
        const auto mean = m_lasting.sum / m_lasting.weight;
        bounded = std::clamp(time, mean / m_options.maxLastingStep, mean * m_options.maxLastingStep);
        weight *= time > mean ? m_options.weightAbove : 1;
    }
    m_lasting.sum += bounded * weight;
    m_lasting.weight += weight;
    m_lasting.samples += samples;
    std::erase_if(m_recent, [this, now](const auto &recent) {
        return now - recent.at >= m_options.recentWindow;
    });
    m_recent.push_back({.time = time, .samples = samples, .at = now});
}

double ResponseTimes::recentRatio(double mean, Core::TimePoint now) const
{
    double samples = 0;
    auto shortest = std::numeric_limits<double>::max();
    for (const auto &recent : m_recent) {
        if (now - recent.at < m_options.recentWindow) {
            samples += recent.samples;
            shortest = std::min(shortest, recent.time);
        }
    }
    return samples < m_options.minRecentSamples ? 1 : std::max(shortest / mean, 1.0);
}

LearnedTime ResponseTimes::learned(Core::TimePoint now) const
{
    const auto present = lasting(now);
    if (present.samples < MinSamples || now - present.since < m_options.minObserved) {
        return {};
    }
    const auto mean = present.sum / present.weight;
    const auto stall = effectOfRatio(recentRatio(mean, now), m_options.minStall, m_options.clearStall);
    return {.time = mean * (1 + (m_options.stallTime - 1) * stall), .samples = present.samples};
}

double effectOfRatio(double ratio, double noEffect, double fullEffect)
{
    const auto distance = std::abs(std::log(ratio));
    const auto begin = std::log(noEffect);
    return std::clamp((distance - begin) / (std::log(fullEffect) - begin), 0.0, 1.0);
}

}
