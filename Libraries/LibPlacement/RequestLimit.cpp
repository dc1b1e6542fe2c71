#include <LibPlacement/RequestLimit.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

using Seconds = std::chrono::duration<double>;

// The least that counts as allowed in a window, so that the used share of a limit of zero is defined.
constexpr double LeastAllowed = 1;

Core::Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Core::Duration>(seconds);
}

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
    return Change::Ended;
}

void RequestLimit::recordSend(Core::TimePoint now)
{
    while (!m_sends.empty() && now - m_sends.front() >= m_options.window) {
        m_sends.pop_front();
    }
    m_sends.push_back(now);
}

void RequestLimit::recordOthers(unsigned count, std::size_t senders, Core::TimePoint now)
{
    m_others = std::max<double>(count, others(now));
    m_othersAt = now;
    if (senders >= m_senders || now - m_sendersAt >= 2 * m_options.window) {
        m_senders = std::max<std::size_t>(senders, 1);
        m_sendersAt = now;
    }
}

bool RequestLimit::isSet() const
{
    return m_perSecond.has_value();
}

unsigned RequestLimit::recent(Core::TimePoint now) const
{
    return sentWithin(m_options.window, now);
}

unsigned RequestLimit::sentWithin(Core::Duration time, Core::TimePoint now) const
{
    const auto first = std::upper_bound(m_sends.begin(), m_sends.end(), now - time);
    return static_cast<unsigned>(m_sends.end() - first);
}

double RequestLimit::others(Core::TimePoint now) const
{
    return m_others * std::max(0.0, 1 - Seconds(now - m_othersAt) / Seconds(m_options.window));
}

double RequestLimit::toleratedPerWindow() const
{
    const auto perWindow = *m_perSecond * Seconds(m_options.window).count();
    return m_options.usableShare * (m_options.tolerance * perWindow + m_options.burst);
}

double RequestLimit::usedShare(Core::TimePoint now) const
{
    if (!m_perSecond.has_value()) {
        return 0;
    }
    return (recent(now) + others(now)) / std::max(*m_perSecond * Seconds(m_options.window).count(), LeastAllowed);
}

Core::Duration RequestLimit::untilRoom(const LimitSharing &sharing, Core::TimePoint now) const
{
    if (!m_perSecond.has_value()) {
        return {};
    }
    const Seconds window = m_options.window;
    const auto tolerated = toleratedPerWindow();
    const auto share = tolerated / static_cast<double>(std::max<std::size_t>(sharing.hostCount, 1));
    if (!sharing.isNewsRecent && share < 1) {
        return std::max<Core::Duration>(nextTurn(sharing, toDuration(window / share)) - now, {});
    }
    const double own = recent(now);
    const auto room = tolerated - own - others(now);
    const bool isWithinShare = sharing.isNewsRecent ? hasTurn(room, sharing, now) : own + 1 <= share;
    // Until there is room, the requests of the window are taken to be spread evenly over it.
    return isWithinShare && room >= 1 ? Core::Duration {} : toDuration(window / tolerated);
}

bool RequestLimit::hasTurn(double room, const LimitSharing &sharing, Core::TimePoint now) const
{
    const auto sent = sentWithin(m_options.turn, now);
    if (const auto part = room / static_cast<double>(m_senders); part >= 1) {
        return sent < part;
    }
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / m_options.turn);
    const auto position = turn + static_cast<std::size_t>(sharing.phase * static_cast<double>(m_senders));
    return sent == 0 && static_cast<double>(position % m_senders) < room;
}

Core::TimePoint RequestLimit::nextTurn(const LimitSharing &sharing, Core::Duration interval) const
{
    return m_sends.empty() ? m_begunAt + toDuration(Seconds(interval) * sharing.phase) : m_sends.back() + interval;
}

}
