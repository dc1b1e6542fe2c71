#include <LibPlacement/AdapterDemand.h>

#include <cmath>

namespace Placement {

namespace {

// Long enough that one of many hosts counts several requests for a popular adapter, and short compared to the time in
// which demand shifts.
constexpr std::chrono::duration<double> AveragingTime = std::chrono::seconds(2);
// Reached by a single request after about ten seconds.
constexpr double MinCount = 0.01;

}

double AdapterDemand::decayed(const Record &record, Core::TimePoint now)
{
    const std::chrono::duration<double> age = now - record.countedAt;
    return record.count * std::exp(-age / AveragingTime);
}

void AdapterDemand::recordRequest(const std::string &adapter, Core::TimePoint now)
{
    auto &record = m_records[adapter];
    record = {.count = decayed(record, now) + 1, .countedAt = now};
}

double AdapterDemand::count(const std::string &adapter, Core::TimePoint now) const
{
    const auto found = m_records.find(adapter);
    return found == m_records.end() ? 0 : decayed(found->second, now);
}

double AdapterDemand::rateOf(double count)
{
    return count / AveragingTime.count();
}

void AdapterDemand::prune(Core::TimePoint now)
{
    std::erase_if(m_records, [now](const auto &record) {
        return decayed(record.second, now) < MinCount;
    });
}

}
