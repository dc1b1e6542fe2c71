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
    const auto age = now - m_othersAt;
    if (age >= m_options.newsGap) {
        m_newsSince = now;
    }
    // During a gap, and until the news are complete, the others have kept to their parts.
    const bool isFalling = now - m_newsSince >= m_options.newsCompleteAfter;
    const auto left = others(now) * (isFalling ? 1 - Seconds(age) / Seconds(m_options.window) : 1);
    m_others = std::max<double>(count, left);
    m_ownAtNews = recent(now);
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
    return now - m_othersAt < 3 * m_options.window ? m_others : 0;
}

double RequestLimit::partWithoutNews(double tolerated, std::size_t hostCount, Core::TimePoint now) const
{
    const auto age = now - m_othersAt;
    const auto share = tolerated / static_cast<double>(hostCount);
    if (age >= 3 * m_options.window) {
        return share;
    }
    const auto part = m_ownAtNews + std::max(0.0, tolerated - m_ownAtNews - m_others) / static_cast<double>(hostCount);
    // Hosts with more than an equal share give it up before the others take theirs.
    return age >= 2 * m_options.window ? std::min(part, share) : part;
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
    const double own = recent(now);
    const bool hasNews = now - m_othersAt < m_options.newsGap && now - m_newsSince >= m_options.newsCompleteAfter;
    if (hasNews) {
        const auto room = tolerated - own - others(now);
        // Until there is room, the requests of the window are taken to be spread evenly over it.
        return room >= 1 && hasTurn(room, sharing, now) ? Core::Duration {} : toDuration(window / tolerated);
    }
    const auto hostCount = std::max<std::size_t>(sharing.hostCount, 1);
    const auto part = partWithoutNews(tolerated, hostCount, now);
    if (now - m_othersAt >= 3 * m_options.window && part < 1) {
        return std::max<Core::Duration>(nextTurn(sharing, toDuration(window / part)) - now, {});
    }
    return own + 1 <= part ? Core::Duration {} : toDuration(window / tolerated);
}

bool RequestLimit::hasTurn(double room, const LimitSharing &sharing, Core::TimePoint now) const
{
    const auto sent = sentWithin(m_options.turn, now);
    if (const auto part = room / static_cast<double>(m_senders); part >= 1) {
        return sent < part;
    }
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / m_options.turn);
    const auto position = turn + static_cast<std::size_t>(sharing.phase * static_cast<double>(m_senders));
    return sent == 0 && static_cast<double>(position % m_senders) + 1 <= room;
}

Core::TimePoint RequestLimit::nextTurn(const LimitSharing &sharing, Core::Duration interval) const
{
    return m_sends.empty() ? m_begunAt + toDuration(Seconds(interval) * sharing.phase) : m_sends.back() + interval;
}

}
