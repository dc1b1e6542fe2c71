#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace Owner {

// What one target serves, and how many requests it runs. The target's report lags, so the owner counts what it has
// granted itself and takes from the report only what it can't have granted.
class TargetLoad
{
public:
    std::string baseModel;
    bool isServing = false;

    // Takes a report. Requests beyond the most that this owner had granted at any time since the last report are
    // taken for another's.
    void report(std::uint32_t batchCapacity, std::uint32_t running, std::uint32_t granted)
    {
        m_batchCapacity = batchCapacity;
        const auto most = std::max(m_mostGranted, granted);
        m_foreign = running > most ? running - most : 0;
        m_mostGranted = granted;
    }

    void noteGranted(std::uint32_t granted)
    {
        m_mostGranted = std::max(m_mostGranted, granted);
    }

    // True when another request can join the batch. A target that has reported no capacity takes any number.
    [[nodiscard]] bool hasRoom(std::size_t granted) const
    {
        return m_batchCapacity == 0 || granted + m_foreign < m_batchCapacity;
    }

    // Running requests over batch capacity.
    [[nodiscard]] double use(std::size_t granted) const
    {
        const auto running = static_cast<double>(granted + m_foreign);
        return m_batchCapacity == 0 ? running : running / m_batchCapacity;
    }

private:
    std::uint32_t m_batchCapacity = 0;
    std::uint32_t m_foreign = 0;
    std::uint32_t m_mostGranted = 0;
};

}
