#pragma once

#include <LibCore/Time.h>
#include <algorithm>

namespace Owner {

// How long one load follows the other while adapters wait to be loaded. It tells how long a queue will take.
class LoadPace
{
public:
    // A load begins; the backlog counts the adapters that wait besides.
    void noteLoad(Core::TimePoint now, std::size_t backlog)
    {
        if (m_hadBacklog) {
            const auto interval = std::min<Core::Duration>(now - m_lastLoad, LongestInterval);
            m_interval += (interval - m_interval) / Smoothing;
        }
        m_lastLoad = now;
        m_hadBacklog = backlog > 0;
    }

    // How long the loading of so many adapters takes.
    [[nodiscard]] Core::Duration estimate(std::size_t adapters) const
    {
        return m_interval * static_cast<Core::Duration::rep>(adapters);
    }

private:
    static constexpr Core::Duration LongestInterval = std::chrono::seconds(30);
    static constexpr int Smoothing = 8;

    Core::Duration m_interval = std::chrono::milliseconds(500);
    Core::TimePoint m_lastLoad {};
    bool m_hadBacklog = false;
};

}
