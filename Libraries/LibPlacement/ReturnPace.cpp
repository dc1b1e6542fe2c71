#include <LibPlacement/ReturnPace.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Placement {

namespace {

using Seconds = std::chrono::duration<double>;

// A load by other hosts counts as kept up if it lasts for this long.
constexpr auto LoadPeriod = std::chrono::seconds(1);
// The signs of the other hosts count for no longer than this, the longest time between two notices.
constexpr auto MaxNewsAge = std::chrono::milliseconds(500);
// An estimate of a response time may be far too long. Turns as long as this one would leave a replica idle.
constexpr auto MaxTurn = std::chrono::seconds(2);

// The requests in progress at the replica. A host that knows nothing of the others takes its own part for that of each.
double totalOf(const ReturnLoad &load, const LimitSharing &sharing, double limit)
{
    if (load.others.has_value()) {
        return load.own + *load.others;
    }
    return std::min(limit,
                    static_cast<double>(load.own) * static_cast<double>(std::max<std::size_t>(sharing.hostCount, 1)));
}

}

ReturnPace::ReturnPace(ReturnPaceOptions options)
    : m_options(options)
{
}

void ReturnPace::begin(Cause cause, unsigned slots, Core::TimePoint now)
{
    m_isActive = true;
    m_cause = cause;
    m_slots = std::max(slots, 1U);
    const auto initial = cause == Cause::CrashedAgain ? m_options.lowest : m_options.initialShare * m_slots;
    m_limit = std::max(initial, m_options.lowest);
    m_threshold = m_slots;
    m_begunAt = now;
    m_loweredAt = {};
    m_quietSince = now;
    m_periodAt = now;
    m_periodLeast = 0;
    m_previousLeast = 0;
    m_signsAt = now;
    m_usual.clear();
    m_late.clear();
    m_wanted.clear();
}

void ReturnPace::end()
{
    m_isActive = false;
}

bool ReturnPace::isActive(Core::TimePoint now) const
{
    return m_isActive && now - m_quietSince < m_options.quietTime && now - m_begunAt < m_options.maxDuration;
}

void ReturnPace::recordLoad(const ReturnLoad &load, Core::TimePoint now)
{
    if (!isActive(now)) {
        return;
    }
    const auto others = load.others.value_or(0);
    if (const auto age = now - m_periodAt; age >= LoadPeriod) {
        m_previousLeast = age < 2 * LoadPeriod ? m_periodLeast : 0;
        m_periodLeast = others;
        m_periodAt = now;
    }
    m_periodLeast = std::min(m_periodLeast, others);
    if (m_cause == Cause::Reappeared && 2 * keptUp(now) >= m_slots) {
        end();
    } else if (load.others.has_value()) {
        applySigns(load, now);
    }
}

void ReturnPace::applySigns(const ReturnLoad &load, Core::TimePoint now)
{
    const auto &[usual, late, wanted] = load.othersSigns;
    const Seconds elapsed = std::min<Core::Duration>(now - m_signsAt, MaxNewsAge);
    m_signsAt = now;
    if (late > 0) {
        m_quietSince = now;
    }
    if (late > 0 && late >= m_options.lateShare * (usual + late)) {
        if (now - m_loweredAt >= m_options.settleTime) {
            lower(now);
        }
    } else if (usual > 0) {
        raise(usual * (elapsed / Seconds(m_options.signWindow)), load.own + *load.others);
    }
}

unsigned ReturnPace::keptUp(Core::TimePoint now) const
{
    return now - m_periodAt < 2 * LoadPeriod ? std::min(m_previousLeast, m_periodLeast) : 0;
}

double ReturnPace::limit() const
{
    return m_limit;
}

void ReturnPace::recordResponse(Response response, const ReturnLoad &load, const LimitSharing &sharing,
                                Core::TimePoint sentAt, Core::TimePoint now)
{
    if (!isActive(now) || sentAt < m_begunAt) {
        return;
    }
    if (response == Response::Usual) {
        add(m_usual, now);
        const auto total = totalOf(load, sharing, m_limit);
        if (total >= m_slots) {
            end();
        } else {
            raise(load.others.has_value() ? 1 : total / std::max(load.own, 1U), total);
        }
        return;
    }
    add(m_late, now);
    m_quietSince = now;
    // The responses to requests that were sent before the limit was lowered show the load from before.
    if (sentAt >= m_loweredAt) {
        lower(now);
    }
}

void ReturnPace::lower(Core::TimePoint now)
{
    m_loweredAt = now;
    m_limit = std::max(m_limit / 2, m_options.lowest);
    m_threshold = m_limit;
}

void ReturnPace::raise(double responses, double total)
{
    // Under little load, the usual time says nothing about more of it.
    if (2 * total < m_limit) {
        return;
    }
    const auto growth = m_limit < m_threshold ? responses : responses / m_limit;
    const auto highest = std::min(2 * std::max(total, 1.0), static_cast<double>(m_slots));
    m_limit = std::max(m_limit, std::min(m_limit + growth, highest));
}

ReturnSigns ReturnPace::signs(Core::TimePoint now) const
{
    return {.usual = recent(m_usual, now), .late = recent(m_late, now), .wanted = recent(m_wanted, now)};
}

void ReturnPace::add(std::deque<Core::TimePoint> &times, Core::TimePoint now) const
{
    while (!times.empty() && now - times.front() >= m_options.signWindow) {
        times.pop_front();
    }
    times.push_back(now);
}

unsigned ReturnPace::recent(const std::deque<Core::TimePoint> &times, Core::TimePoint now) const
{
    const auto first = std::upper_bound(times.begin(), times.end(), now - m_options.signWindow);
    return static_cast<unsigned>(times.end() - first);
}

void ReturnPace::recordDemand(Core::TimePoint now)
{
    add(m_wanted, now);
}

void ReturnPace::recordSend(Core::TimePoint now)
{
    while (!m_sends.empty() && now - m_sends.front() >= MaxTurn) {
        m_sends.pop_front();
    }
    m_sends.push_back(now);
}

bool ReturnPace::hasRoom(const ReturnLoad &load, const LimitSharing &sharing, Core::TimePoint now) const
{
    if (!isActive(now)) {
        return true;
    }
    const auto allowed = m_limit;
    if (load.others.has_value()) {
        const auto room = allowed - load.own - *load.others;
        return room >= 1 && hasTurn(room, m_options.turn, load, sharing, now);
    }
    const auto share = allowed / static_cast<double>(std::max<std::size_t>(sharing.hostCount, 1));
    if (share >= 1) {
        return load.own + 1 <= share;
    }
    // Without news a turn lasts until the requests of the one before have probably ended.
    const auto turn = std::clamp<Core::Duration>(load.usualTime, m_options.turn, MaxTurn);
    return load.own == 0 && hasTurn(allowed, turn, load, sharing, now);
}

double ReturnPace::usedShare(const ReturnLoad &load, const LimitSharing &sharing, Core::TimePoint now) const
{
    if (!isActive(now)) {
        return 0;
    }
    if (load.others.has_value()) {
        return (load.own + *load.others) / m_limit;
    }
    return load.own / std::max(m_limit / static_cast<double>(std::max<std::size_t>(sharing.hostCount, 1)), 1.0);
}

double ReturnPace::expectedDemand(Core::Duration turn, const ReturnLoad &load, const LimitSharing &sharing,
                                  Core::TimePoint now) const
{
    const auto own = recent(m_wanted, now) + load.unrecordedDemand;
    const auto turns = Seconds(m_options.signWindow) / Seconds(turn);
    // Hosts without known demand may all have their first request at the same moment, such as when they learn of the
    // replica. Without news, a single request says nothing about the demand.
    const bool isUnknown
        = now - m_begunAt < m_options.signWindow || (load.others.has_value() ? load.othersSigns.wanted == 0 : own <= 1);
    if (isUnknown) {
        return std::numeric_limits<double>::infinity();
    }
    if (load.others.has_value()) {
        return (own + load.othersSigns.wanted) / turns;
    }
    return own / turns * static_cast<double>(std::max<std::size_t>(sharing.hostCount, 1));
}

unsigned ReturnPace::sentIn(std::int64_t turnNumber, Core::Duration turn) const
{
    return static_cast<unsigned>(std::count_if(m_sends.begin(), m_sends.end(), [turnNumber, turn](auto at) {
        return at.time_since_epoch() / turn == turnNumber;
    }));
}

bool ReturnPace::hasTurn(double room, Core::Duration turn, const ReturnLoad &load, const LimitSharing &sharing,
                         Core::TimePoint now) const
{
    const auto hostCount = std::max<std::size_t>(sharing.hostCount, 1);
    const auto hosts = static_cast<double>(hostCount);
    const auto expected = expectedDemand(turn, load, sharing, now);
    if (expected <= room) {
        return true;
    }
    const std::int64_t number = now.time_since_epoch() / turn;
    const auto sent = sentIn(number, turn);
    if (room >= hosts) {
        return sent < (room + sent) / hosts;
    }
    const auto groups = static_cast<std::int64_t>(std::ceil(std::min(expected, hosts) / room));
    const auto position = number + static_cast<std::int64_t>(sharing.phase * static_cast<double>(groups));
    return position % groups == 0 && sent == 0;
}

}
