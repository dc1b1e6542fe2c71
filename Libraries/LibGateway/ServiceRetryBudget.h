#pragma once

#include <LibCore/Time.h>
#include <array>
#include <map>
#include <string>

namespace Gateway {

struct ServiceRetryBudgetOptions {
    double ratio = 0.2; // Retries allowed per request, over all hosts together.
    double extra = 50; // Retries allowed per window regardless of traffic, over all hosts together.
    Core::Duration window = std::chrono::seconds(10);
    // The usable part of the budget. The rest allows for clocks and windows that differ between hosts.
    double usableShare = 0.8;
};

// This host's share of the retry budget of each service: an equal share of the retries that are allowed regardless of
// traffic, plus those that its own requests allow.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options = {});

    void setOptions(const ServiceRetryBudgetOptions &options);
    // Counts a caller's request to the service.
    void countRequest(const std::string &service, Core::TimePoint now);
    // Spends one retry of the budget, given the number of live hosts. Returns false if the budget is exhausted.
    [[nodiscard]] bool tryRetry(const std::string &service, std::size_t hostCount, Core::TimePoint now);

private:
    static constexpr std::size_t BucketCount = 10; // Number of equal parts of the sliding window.
    struct Bucket {
        long long period = -1; // Number of the time span that the counts belong to.
        unsigned requests = 0;
        unsigned retries = 0;
    };

    Bucket &bucketAt(const std::string &service, Core::TimePoint now);
    [[nodiscard]] long long periodOf(Core::TimePoint now) const;

    ServiceRetryBudgetOptions m_options;
    std::map<std::string, std::array<Bucket, BucketCount>> m_buckets;
};

}
