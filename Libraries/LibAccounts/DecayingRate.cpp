#include <LibAccounts/DecayingRate.h>

#include <cmath>

namespace Accounts {

namespace {

using Seconds = std::chrono::duration<double>;

}

DecayingRate::DecayingRate(Core::Duration halfLife)
    : m_halfLife(halfLife)
{
}

double DecayingRate::sumAt(Core::TimePoint now) const
{
    return m_sum * std::exp2(-Seconds(now - m_at) / Seconds(m_halfLife));
}

void DecayingRate::add(double amount, Core::TimePoint now)
{
    m_sum = sumAt(now) + amount;
    m_at = now;
}

double DecayingRate::perSecond(Core::TimePoint now) const
{
    // A steady rate r has the sum r * half-life / ln 2.
    return sumAt(now) * std::log(2.0) / Seconds(m_halfLife).count();
}

}
