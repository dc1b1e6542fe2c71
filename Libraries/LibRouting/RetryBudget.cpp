#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Routing {

namespace {

constexpr std::uint64_t OneRetry = 100;

}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_savedPercent(options.mostSaved * OneRetry)
{
}

void RetryBudget::recordRequest()
{
    m_savedPercent = std::min(m_savedPercent + m_options.sharePercent, m_options.mostSaved * OneRetry);
}

bool RetryBudget::tryRetry()
{
    if (m_savedPercent < OneRetry) {
        return false;
    }
    m_savedPercent -= OneRetry;
    return true;
}

}
