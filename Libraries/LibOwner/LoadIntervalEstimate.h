#pragma once

#include <LibCore/Time.h>
#include <algorithm>

namespace Owner {

// Estimates how long a queue of adapters takes to load, from a moving average of the intervals between successive loads
// while adapters are waiting.
class LoadIntervalEstimate
{
public:
    // Records the start of a load. The backlog is the number of other adapters still waiting to be loaded.
    void recordLoad(Core::TimePoint now, std::size_t backlog)
    {
        if (m_hadBacklog) {
            const auto interval = std::min<Core::Duration>(now - m_lastLoad, MaxInterval);
            m_interval += (interval - m_interval) / Smoothing;
        }
        m_lastLoad = now;
        m_hadBacklog = backlog > 0;
    }

    // Returns the expected time to load the given number of adapters.
    [[nodiscard]] Core::Duration estimate(std::size_t adapters) const
    {
        return m_interval * static_cast<Core::Duration::rep>(adapters);
    }

private:
    static constexpr Core::Duration MaxInterval = std::chrono::seconds(30);
    static constexpr int Smoothing = 8;

    Core::Duration m_interval = std::chrono::milliseconds(500);
    Core::TimePoint m_lastLoad {};
    bool m_hadBacklog = false;
};

}
