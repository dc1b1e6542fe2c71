#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Routing {

namespace {

constexpr std::uint64_t PercentPerRetry = 100;

}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_savedPercent(options.maxSavedRetries * PercentPerRetry)
{
}

void RetryBudget::recordRequest()
{
    m_savedPercent = std::min(m_savedPercent + m_options.retryPercent, m_options.maxSavedRetries * PercentPerRetry);
}

bool RetryBudget::tryRetry()
{
    if (m_savedPercent < PercentPerRetry) {
        return false;
    }
    m_savedPercent -= PercentPerRetry;
    return true;
}

}
