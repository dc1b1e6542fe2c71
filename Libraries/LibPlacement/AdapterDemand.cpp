#include <LibPlacement/AdapterDemand.h>

#include <cmath>

namespace Placement {

namespace {

// Long enough for a popular adapter's requests at one of many hosts to count together, short against a shift of demand.
constexpr std::chrono::duration<double> AveragingTime = std::chrono::seconds(2);
// A single request is forgotten after about ten seconds.
constexpr double LeastCount = 0.01;

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
        return decayed(record.second, now) < LeastCount;
    });
}

}
