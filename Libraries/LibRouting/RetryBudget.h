#pragma once

#include <cstdint>

namespace Routing {

struct RetryBudgetOptions {
    std::uint32_t retryPercent = 20; // Retries earned by 100 new requests.
    std::uint32_t maxSavedRetries = 50; // Upper bound of the saved budget, and the budget a host starts with.
};

// Limits one host's retries to a share of its recent requests, so that retries cannot amplify an outage.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    // Counts a new request, which adds retryPercent hundredths of a retry to the budget.
    void recordRequest();
    // Takes one retry from the budget. Returns false if the budget is spent.
    [[nodiscard]] bool tryRetry();

private:
    RetryBudgetOptions m_options;
    std::uint64_t m_savedPercent = 0; // 100 make one retry.
};

}
