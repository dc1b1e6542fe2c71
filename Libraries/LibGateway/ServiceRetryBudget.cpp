#include <LibGateway/ServiceRetryBudget.h>

#include <algorithm>

namespace Gateway {

ServiceRetryBudget::ServiceRetryBudget(ServiceRetryBudgetOptions options)
    : m_options(options)
{
}

void ServiceRetryBudget::setOptions(const ServiceRetryBudgetOptions &options)
{
    m_options = options;
}

long long ServiceRetryBudget::periodOf(Core::TimePoint now) const
{
    return now.time_since_epoch() / (m_options.window / Buckets);
}

ServiceRetryBudget::Bucket &ServiceRetryBudget::bucketAt(const std::string &service, Core::TimePoint now)
{
    const auto period = periodOf(now);
    auto &bucket = m_buckets[service][static_cast<std::size_t>(period) % Buckets];
    if (bucket.period != period) {
        bucket = {.period = period};
    }
    return bucket;
}

void ServiceRetryBudget::countRequest(const std::string &service, Core::TimePoint now)
{
    ++bucketAt(service, now).requests;
}

bool ServiceRetryBudget::take(const std::string &service, std::size_t hosts, Core::TimePoint now)
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
