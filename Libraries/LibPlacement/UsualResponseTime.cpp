#include <LibPlacement/UsualResponseTime.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Placement {

namespace {

using Seconds = std::chrono::duration<double>;

// Bounds the influence of a single response on the mean, as a difference of logarithms.
constexpr double MaxDeviation = 1.5;
constexpr double MinSeconds = 1e-4;

}

UsualResponseTime::UsualResponseTime(UsualResponseTimeOptions options)
    : m_options(options)
{
}

void UsualResponseTime::record(std::uint64_t promptTokens, Core::Duration time)
{
    auto &estimate = m_estimates[std::bit_width(promptTokens)];
    const auto logarithm = std::log(std::max(Seconds(time).count(), MinSeconds));
    if (estimate.responses < m_options.minResponses) {
        ++estimate.responses;
        estimate.logarithm += (logarithm - estimate.logarithm) / estimate.responses;
        return;
    }
    estimate.logarithm += m_options.weight * std::clamp(logarithm - estimate.logarithm, -MaxDeviation, MaxDeviation);
}

std::optional<Core::Duration> UsualResponseTime::usual(std::uint64_t promptTokens) const
{
    const auto found = m_estimates.find(std::bit_width(promptTokens));
    if (found == m_estimates.end() || found->second.responses < m_options.minResponses) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Core::Duration>(Seconds(std::exp(found->second.logarithm)));
}

std::optional<bool> UsualResponseTime::isLate(std::uint64_t promptTokens, Core::Duration time) const
{
    const auto known = usual(promptTokens);
    if (!known.has_value()) {
        return std::nullopt;
    }
    const Seconds latest
        = std::max<Seconds>(m_options.lateFactor * Seconds(*known), Seconds(*known) + m_options.minLateness);
    return time > latest;
}

}
