#include <LibRouting/TargetAvoidance.h>

#include <algorithm>

namespace Routing {

namespace {

constexpr std::uint32_t MaxDoublings = 16;

}

TargetAvoidance::TargetAvoidance(TargetAvoidanceOptions options)
    : m_options(options)
{
}

void TargetAvoidance::recordFailure(const Core::TargetId &target, Core::TimePoint now)
{
    auto &record = m_records[target];
    const auto period = m_options.initialPeriod * (1U << std::min(record.failures, MaxDoublings));
    ++record.failures;
    record.until = now + std::min(period, m_options.maxPeriod);
}

void TargetAvoidance::recordSuccess(const Core::TargetId &target)
{
    m_records.erase(target);
}

std::vector<Core::TargetId> TargetAvoidance::avoided(Core::TimePoint now)
{
    // A target without a failure for maxPeriod after its avoidance ended starts again at initialPeriod.
    std::erase_if(m_records, [&](const auto &entry) {
        return entry.second.until + m_options.maxPeriod <= now;
    });
    std::vector<Core::TargetId> targets;
    for (const auto &[target, record] : m_records) {
        if (record.until > now) {
            targets.push_back(target);
        }
    }
    return targets;
}

}
