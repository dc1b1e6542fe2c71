#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace Owner {

// The base model that one target serves, and the number of requests it runs. The target's report lags behind, so the
// owner counts its own grants and uses the report only for requests beyond those grants.
class TargetLoad
{
public:
    std::string baseModel;
    bool isServing = false;

    // Applies a report. Running requests beyond this owner's maximum number of grants since the previous report are
    // counted as granted by another owner.
    void report(std::uint32_t batchCapacity, std::uint32_t running, std::uint32_t granted)
    {
        m_batchCapacity = batchCapacity;
        const auto maxGranted = std::max(m_maxGranted, granted);
        m_otherRunning = running > maxGranted ? running - maxGranted : 0;
        m_maxGranted = granted;
    }

    void recordGranted(std::uint32_t granted)
    {
        m_maxGranted = std::max(m_maxGranted, granted);
    }

    // Returns true if another request fits into the batch. A target without a reported capacity has no limit.
    [[nodiscard]] bool hasCapacity(std::size_t granted) const
    {
        return m_batchCapacity == 0 || granted + m_otherRunning < m_batchCapacity;
    }

    // Returns the running requests divided by the batch capacity.
    [[nodiscard]] double utilization(std::size_t granted) const
    {
        const auto running = static_cast<double>(granted + m_otherRunning);
        return m_batchCapacity == 0 ? running : running / m_batchCapacity;
    }

private:
    std::uint32_t m_batchCapacity = 0;
    std::uint32_t m_otherRunning = 0; // Requests granted by another owner.
    std::uint32_t m_maxGranted = 0; // Since the last report.
};

}
