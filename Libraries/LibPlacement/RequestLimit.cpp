#include <LibPlacement/RequestLimit.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

using Seconds = std::chrono::duration<double>;

}

RequestLimit::RequestLimit(RequestLimitOptions options)
    : m_options(options)
{
}

RequestLimit::Change RequestLimit::record(std::optional<double> perSecond, Core::TimePoint sentAt, Core::TimePoint now)
{
    if (perSecond.has_value()) {
        m_namedAt = now;
        if (std::exchange(m_perSecond, perSecond).has_value()) {
            return Change::None;
        }
        m_begunAt = now;
        return Change::Begun;
    }
    if (!m_perSecond.has_value() || sentAt <= m_namedAt) {
        return Change::None;
    }
    m_perSecond.reset();
    m_sends.clear();
    return Change::Ended;
}

void RequestLimit::recordSend(Core::TimePoint now)
{
    if (!m_perSecond.has_value()) {
        return;
    }
    // The last one is kept, as it decides when the next one may follow if the share of this host is less than one.
    while (!m_sends.empty() && now - m_sends.front() >= m_options.window) {
        m_sends.pop_front();
    }
    m_sends.push_back(now);
}

bool RequestLimit::isSet() const
{
    return m_perSecond.has_value();
}

unsigned RequestLimit::recent(Core::TimePoint now) const
{
    const auto first = std::upper_bound(m_sends.begin(), m_sends.end(), now - m_options.window);
    return static_cast<unsigned>(m_sends.end() - first);
}

double RequestLimit::allowedPerWindow() const
{
    return std::max(*m_perSecond * Seconds(m_options.window).count(), m_options.minPerWindow);
}

double RequestLimit::equalShare(const LimitSharing &sharing) const
{
    return allowedPerWindow() / static_cast<double>(std::max<std::size_t>(sharing.hostCount, 1));
}

std::optional<Core::Duration> RequestLimit::sparseInterval(const LimitSharing &sharing) const
{
    const auto share = equalShare(sharing);
    if (sharing.othersRecent.has_value() || share >= 1) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Core::Duration>(Seconds(m_options.window) / share);
}

Core::TimePoint RequestLimit::nextTurn(const LimitSharing &sharing, Core::Duration interval) const
{
    return m_sends.empty() ? m_begunAt + std::chrono::duration_cast<Core::Duration>(interval * sharing.phase)
                           : m_sends.back() + interval;
}

double RequestLimit::usedShare(const LimitSharing &sharing, Core::TimePoint now) const
{
    if (!m_perSecond.has_value()) {
        return 0;
    }
    if (const auto interval = sparseInterval(sharing); interval.has_value()) {
        return now < nextTurn(sharing, *interval) ? 1 : 0;
    }
    const bool isShared = sharing.othersRecent.has_value();
    const double used = recent(now) + sharing.othersRecent.value_or(0);
    const auto allowed = isShared ? allowedPerWindow() : equalShare(sharing);
    return used + 1 > allowed ? std::max(used / allowed, 1.0) : used / allowed;
}

Core::Duration RequestLimit::untilRoom(const LimitSharing &sharing, Core::TimePoint now) const
{
    if (usedShare(sharing, now) < 1) {
        return {};
    }
    if (const auto interval = sparseInterval(sharing); interval.has_value()) {
        return nextTurn(sharing, *interval) - now;
    }
    // The requests of the window are taken to be spread evenly over it.
    return std::chrono::duration_cast<Core::Duration>(Seconds(m_options.window) / allowedPerWindow());
}

}
