#include <LibPolicy/LoadBudget.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Policy {

namespace {

// Accrual is summed in floating point, so a permit counts as complete when it is within this rounding error.
constexpr double PermitTolerance = 1e-9;

}

LoadBudget::LoadBudget(LoadBudgetOptions options, Core::TimePoint now)
    : m_options(options)
    , m_permits(0)
    , m_accruedAt(now)
{
    // A host starts without permits, so that repeated restarts do not exceed its rate.
}

bool LoadBudget::hasPermit(Core::TimePoint now) const
{
    if (m_options.maxInFlight > 0 && m_inFlight >= m_options.maxInFlight) {
        return false;
    }
    return isUnlimited() || m_received >= 1 || permitsAt(now) >= 1 - PermitTolerance;
}

void LoadBudget::beginLoad(Core::TimePoint now)
{
    VERIFY(hasPermit(now));
    ++m_inFlight;
    if (isUnlimited()) {
        return;
    }
    accruePermits(now);
    if (m_received >= 1) {
        m_received -= 1;
    } else {
        m_permits -= 1;
    }
}

void LoadBudget::endLoad()
{
    VERIFY(m_inFlight > 0);
    --m_inFlight;
}

bool LoadBudget::lend(Core::TimePoint now)
{
    if (isUnlimited() || permitsAt(now) < 1 - PermitTolerance) {
        return false;
    }
    accruePermits(now);
    m_permits -= 1;
    return true;
}

void LoadBudget::receive()
{
    m_received = 1;
}

Core::Duration LoadBudget::untilPermit(Core::TimePoint now) const
{
    if (isUnlimited() || m_received >= 1) {
        return {};
    }
    const double missing = std::max(0.0, 1 - permitsAt(now));
    const std::chrono::duration<double> wait(missing / m_options.loadsPerSecond);
    return std::chrono::duration_cast<Core::Duration>(wait);
}

std::size_t LoadBudget::inFlight() const
{
    return m_inFlight;
}

bool LoadBudget::isUnlimited() const
{
    return m_options.loadsPerSecond <= 0;
}

double LoadBudget::permitsAt(Core::TimePoint now) const
{
    const std::chrono::duration<double> elapsed = now - m_accruedAt;
    return std::min(m_options.maxPermits, m_permits + elapsed.count() * m_options.loadsPerSecond);
}

void LoadBudget::accruePermits(Core::TimePoint now)
{
    m_permits = permitsAt(now);
    m_accruedAt = now;
}

}
