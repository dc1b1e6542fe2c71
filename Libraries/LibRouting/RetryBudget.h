#pragma once

#include <cstdint>

namespace Routing {

struct RetryBudgetOptions {
    std::uint32_t sharePercent = 20; // Retries per hundred new requests.
    std::uint32_t mostSaved = 50; // Retries that quiet times can save up, which is also what a host begins with.
};

// Keeps one host's retries to a share of its recent requests, so that retries can't multiply an outage.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    // Notes a new request, which earns its share of a retry.
    void recordRequest();
    // Takes one retry from the budget; returns false when it is spent.
    [[nodiscard]] bool tryRetry();

private:
    RetryBudgetOptions m_options;
    std::uint64_t m_savedPercent = 0; // A hundred make one retry.
};

}
