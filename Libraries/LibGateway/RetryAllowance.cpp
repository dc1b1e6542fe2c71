#include <LibGateway/RetryAllowance.h>

#include <algorithm>

namespace Gateway {

RetryAllowance::RetryAllowance(RetryAllowanceOptions options)
    : m_options(options)
{
}

void RetryAllowance::setOptions(const RetryAllowanceOptions &options)
{
    m_options = options;
}

long long RetryAllowance::periodOf(Core::TimePoint now) const
{
    return now.time_since_epoch() / (m_options.window / Buckets);
}

RetryAllowance::Bucket &RetryAllowance::bucketAt(const std::string &service, Core::TimePoint now)
{
    const auto period = periodOf(now);
    auto &bucket = m_buckets[service][static_cast<std::size_t>(period) % Buckets];
    if (bucket.period != period) {
        bucket = {.period = period};
    }
    return bucket;
}

void RetryAllowance::countRequest(const std::string &service, Core::TimePoint now)
{
    ++bucketAt(service, now).requests;
}

bool RetryAllowance::take(const std::string &service, std::size_t hosts, Core::TimePoint now)
{
    auto &current = bucketAt(service, now);
    const auto oldest = periodOf(now) - static_cast<long long>(Buckets) + 1;
    double requests = 0;
    double repeats = 0;
    for (const auto &bucket : m_buckets[service]) {
        if (bucket.period >= oldest) {
            requests += bucket.requests;
            repeats += bucket.repeats;
        }
    }
    const auto part = m_options.extra / static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (repeats + 1 > m_options.share * (m_options.ratio * requests + part)) {
        return false;
    }
    ++current.repeats;
    return true;
}

}
