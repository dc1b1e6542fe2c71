#include <LibHolding/NoticeSeries.h>

#include <algorithm>
#include <utility>

namespace Holding {

namespace {

// Smaller changes of the time between events wait for the next notice, as they change no decision.
constexpr double MinEventTimeChange = 1.1;

bool isEventTimeEqual(const ReplicaLoad &left, const ReplicaLoad &right)
{
    const auto [shorter, longer] = std::minmax(left.eventMicroseconds, right.eventMicroseconds);
    return longer <= shorter * MinEventTimeChange;
}

bool isEqual(const ReplicaLoad &left, const ReplicaLoad &right)
{
    // Without a limit, what was sent isn't worth a notice of its own.
    const bool isSentEqual = left.limitedSenders == right.limitedSenders
        && (left.limitedSenders == 0 || left.recentlySent == right.recentlySent);
    return left.active == right.active && left.waitingTokens == right.waitingTokens
        && left.loadDelayMilliseconds == right.loadDelayMilliseconds && left.usedTokens == right.usedTokens
        && isEventTimeEqual(left, right) && isSentEqual && left.returnSigns == right.returnSigns;
}

bool contains(const std::vector<ResidentAdapter> &adapters, const ResidentAdapter &wanted)
{
    return std::any_of(adapters.begin(), adapters.end(), [&wanted](const auto &adapter) {
        return adapter.adapter == wanted.adapter && adapter.version == wanted.version;
    });
}

}

NoticeSeries::NoticeSeries(std::uint64_t firstNumber)
{
    m_complete.number = firstNumber;
}

void NoticeSeries::advance(ReplicaNotice complete)
{
    m_difference = {.load = complete.load, .number = m_complete.number, .isComplete = false};
    for (const auto &adapter : complete.adapters) {
        if (!contains(m_complete.adapters, adapter)) {
            m_difference.adapters.push_back(adapter);
        }
    }
    for (const auto &adapter : m_complete.adapters) {
        const bool isPresent = std::any_of(complete.adapters.begin(), complete.adapters.end(), [&](const auto &other) {
            return other.adapter == adapter.adapter;
        });
        if (!isPresent) {
            m_difference.removed.push_back(adapter.adapter);
        }
    }
    const bool hasNewAdapters = !m_difference.adapters.empty() || !m_difference.removed.empty();
    m_difference.number += hasNewAdapters ? 1 : 0;
    m_isChanged = hasNewAdapters || !isEqual(complete.load, m_complete.load);
    m_complete = std::move(complete);
    m_complete.number = m_difference.number;
}

const ReplicaNotice &NoticeSeries::difference() const
{
    return m_difference;
}

const ReplicaNotice &NoticeSeries::complete() const
{
    return m_complete;
}

bool NoticeSeries::isChanged() const
{
    return m_isChanged;
}

}
