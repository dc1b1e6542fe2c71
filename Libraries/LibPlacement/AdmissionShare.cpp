#include <LibPlacement/AdmissionShare.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace Placement {

namespace {

constexpr std::uint64_t HashSteps = 1024;
// Differs from the seeds of other choices by the same identifier.
constexpr std::uint64_t HashSeed = 0xad317;

}

AdmissionShare::AdmissionShare(AdmissionShareOptions options)
    : m_options(options)
{
}

double AdmissionShare::share(Core::TimePoint now) const
{
    if (m_share >= 1) {
        return 1;
    }
    const std::chrono::duration<double> elapsed = now - m_changedAt;
    return std::min(1.0, m_share + elapsed.count() * m_options.recoveryPerSecond);
}

void AdmissionShare::lower(Core::TimePoint now)
{
    if (now - m_loweredAt < m_options.settleTime) {
        return;
    }
    m_share = std::max(m_options.least, share(now) * m_options.decrease);
    m_changedAt = now;
    m_loweredAt = now;
}

void AdmissionShare::recordResponse(Core::Duration time, Core::Duration objective, Core::TimePoint now)
{
    if (objective <= Core::Duration::zero()) {
        return;
    }
    const std::chrono::duration<double> part = time;
    const auto used = part / std::chrono::duration<double>(objective);
    if (used > m_options.latePart) {
        lower(now);
    } else if (used <= m_options.roomPart) {
        m_share = std::min(1.0, share(now) * m_options.increase);
        m_changedAt = now;
    }
}

void AdmissionShare::recordRejection(Core::TimePoint now)
{
    lower(now);
}

bool AdmissionShare::isInPart(std::string_view request, double part)
{
    const auto step = Core::stableHash(request, HashSeed) % HashSteps;
    return part >= 1 || static_cast<double>(step) < part * static_cast<double>(HashSteps);
}

bool AdmissionShare::admits(std::string_view request, Core::TimePoint now) const
{
    return isInPart(request, share(now));
}

}
