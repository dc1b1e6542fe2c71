#include <LibPlacement/ReplicaPauses.h>

#include <algorithm>

namespace Placement {

ReplicaPauses::ReplicaPauses(ReplicaPausesOptions options)
    : m_options(options)
{
}

ReplicaPauses::Change ReplicaPauses::record(const Incarnation &replica, Core::Duration pause, Core::TimePoint now)
{
    if (pause <= Core::Duration::zero()) {
        return {};
    }
    const auto currentEnd = endOf(replica, now);
    const auto previous = currentEnd.value_or(now);
    const auto end = std::max(previous, now + std::min(pause, m_options.maxPause));
    m_ends[replica] = end;
    return {.hasBegun = !currentEnd.has_value(), .added = end - previous};
}

std::optional<Core::TimePoint> ReplicaPauses::endOf(const Incarnation &replica, Core::TimePoint now) const
{
    const auto found = m_ends.find(replica);
    return found == m_ends.end() || now >= found->second ? std::nullopt : std::optional(found->second);
}

bool ReplicaPauses::isReturning(const Incarnation &replica, Core::TimePoint now) const
{
    const auto found = m_ends.find(replica);
    return found != m_ends.end() && now >= found->second && now < found->second + m_options.returnPeriod;
}

void ReplicaPauses::prune(Core::TimePoint now)
{
    std::erase_if(m_ends, [this, now](const auto &pause) {
        return now >= pause.second + m_options.returnPeriod;
    });
}

}
