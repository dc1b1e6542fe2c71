#include <LibRelay/ServiceClock.h>

#include <algorithm>

namespace Relay {

void ServiceClock::record(Core::TimePoint sentAt, std::chrono::milliseconds serviceTime)
{
    const auto zero = sentAt - serviceTime;
    m_zero = std::max(m_zero.value_or(zero), zero);
}

std::optional<Core::TimePoint> ServiceClock::toLocal(std::chrono::milliseconds serviceTime) const
{
    return m_zero.has_value() ? std::optional(*m_zero + serviceTime) : std::nullopt;
}

std::chrono::milliseconds ServiceClock::toService(Core::TimePoint sentAt, Core::TimePoint now,
                                                  std::chrono::milliseconds serviceTime)
{
    return serviceTime - std::chrono::ceil<std::chrono::milliseconds>(now - sentAt);
}

}
