#pragma once

#include <LibCore/Time.h>
#include <array>
#include <map>
#include <string>

namespace Gateway {

struct ServiceRetryBudgetOptions {
    double ratio = 0.2; // Repeats for each request, over all hosts together.
    double extra = 50; // Repeats in a window whatever the number of requests, over all hosts together.
    Core::Duration window = std::chrono::seconds(10);
    // The part of the budget that is used; the rest covers clocks and windows that don't agree between hosts.
    double share = 0.8;
};

// This host's part of the budget for sending a request to a service once more. Every host has an equal part of what is
// allowed regardless of traffic, and what its own requests bring.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options = {});

    void setOptions(const ServiceRetryBudgetOptions &options);
    // Counts a request of a caller for the service.
    void countRequest(const std::string &service, Core::TimePoint now);
    // Takes one repeat out of the budget; returns false when it is used up.
    [[nodiscard]] bool take(const std::string &service, std::size_t hosts, Core::TimePoint now);

private:
    static constexpr std::size_t Buckets = 10;
    struct Bucket {
        long long period = -1; // Which span of time the counts belong to.
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    Bucket &bucketAt(const std::string &service, Core::TimePoint now);
    [[nodiscard]] long long periodOf(Core::TimePoint now) const;

    ServiceRetryBudgetOptions m_options;
    std::map<std::string, std::array<Bucket, Buckets>> m_buckets;
};

}
