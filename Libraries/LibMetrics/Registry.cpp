#include <LibMetrics/Registry.h>

#include <array>
#include <sstream>

namespace Metrics {

namespace {

namespace Accumulators = boost::accumulators;

constexpr std::array Quantiles {0.5, 0.95, 0.99};

}

void Registry::count(std::string_view name, std::uint64_t increment)
{
    const auto found = m_counters.find(name);
    if (found == m_counters.end()) {
        m_counters.emplace(std::string(name), increment);
        return;
    }
    found->second += increment;
}

void Registry::gauge(std::string name, std::function<double()> value)
{
    m_gauges[std::move(name)] = std::move(value);
}

void Registry::observe(std::string_view name, Core::Duration duration)
{
    auto found = m_summaries.find(name);
    if (found == m_summaries.end()) {
        found
            = m_summaries.emplace(std::string(name), Summary(Accumulators::extended_p_square_probabilities = Quantiles))
                  .first;
    }
    found->second(std::chrono::duration<double>(duration).count());
}

std::uint64_t Registry::countOf(std::string_view name) const
{
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

std::string Registry::toPrometheusText() const
{
    std::ostringstream text;
    for (const auto &[name, value] : m_counters) {
        text << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : m_gauges) {
        text << name << ' ' << value() << '\n';
    }
    for (const auto &[name, summary] : m_summaries) {
        for (const auto quantile : Quantiles) {
            text << name << "{quantile=\"" << quantile << "\"} "
                 << Accumulators::quantile(summary, Accumulators::quantile_probability = quantile) << '\n';
        }
        text << name << "_sum " << Accumulators::sum(summary) << '\n';
        text << name << "_count " << Accumulators::count(summary) << '\n';
    }
    return std::move(text).str();
}

}
