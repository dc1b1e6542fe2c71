#include <LibFleet/PlatformOutage.h>

#include <utility>

namespace Fleet {

void PlatformOutage::recordFailure(Caller caller)
{
    if (m_probing == nullptr) {
        m_probing = caller;
    }
}

void PlatformOutage::recordSuccess()
{
    m_probing = nullptr;
    // A function may wait again.
    for (const auto &function : std::exchange(m_waiting, {})) {
        function();
    }
}

bool PlatformOutage::mayTry(Caller caller) const
{
    return m_probing == nullptr || m_probing == caller;
}

bool PlatformOutage::isOngoing() const
{
    return m_probing != nullptr;
}

void PlatformOutage::awaitEnd(std::function<void()> function)
{
    m_waiting.push_back(std::move(function));
}

}
