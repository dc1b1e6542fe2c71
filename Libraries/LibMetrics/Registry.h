#pragma once

#include <LibCore/Time.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Metrics {

// The counters, gauges and duration summaries of a process, exported in the Prometheus text format.
// A name may include labels, for example "currantbay_requests_total{outcome=\"completed\"}".
class Registry
{
public:
    void count(std::string_view name, std::uint64_t increment = 1);
    // Registers a gauge. The function is called for its value whenever the metrics are exported.
    void gauge(std::string name, std::function<double()> value);
    // Adds an observation to a summary with the quantiles 0.5, 0.95 and 0.99. The name must not include labels and must
    // end in "_seconds".
    void observe(std::string_view name, Core::Duration duration);

    [[nodiscard]] std::uint64_t countOf(std::string_view name) const;
    [[nodiscard]] std::string toPrometheusText() const;

private:
    using Summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, std::function<double()>, std::less<>> m_gauges;
    std::map<std::string, Summary, std::less<>> m_summaries;
};

}
