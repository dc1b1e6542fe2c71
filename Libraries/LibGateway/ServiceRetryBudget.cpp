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
    return now.time_since_epoch() / (m_options.window / BucketCount);
}

ServiceRetryBudget::Bucket &ServiceRetryBudget::bucketAt(const std::string &service, Core::TimePoint now)
{
    const auto period = periodOf(now);
    auto &bucket = m_buckets[service][static_cast<std::size_t>(period) % BucketCount];
    if (bucket.period != period) {
        bucket = {.period = period};
    }
    return bucket;
}

void ServiceRetryBudget::countRequest(const std::string &service, Core::TimePoint now)
{
    ++bucketAt(service, now).requests;
}

bool ServiceRetryBudget::tryRetry(const std::string &service, std::size_t hostCount, Core::TimePoint now)
{
    auto &current = bucketAt(service, now);
    const auto oldest = periodOf(now) - static_cast<long long>(BucketCount) + 1;
    double requests = 0;
    double retries = 0;
    for (const auto &bucket : m_buckets[service]) {
        if (bucket.period >= oldest) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    const auto hostExtra = m_options.extra / static_cast<double>(std::max<std::size_t>(hostCount, 1));
    if (retries + 1 > m_options.usableShare * (m_options.ratio * requests + hostExtra)) {
        return false;
    }
    ++current.retries;
    return true;
}

}
