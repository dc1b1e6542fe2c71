#include <LibAccounts/LenderRole.h>

#include <algorithm>

namespace Accounts {

namespace {

constexpr auto ProbePeriod = std::chrono::milliseconds(500);
constexpr auto AskPeriod = std::chrono::milliseconds(200);
constexpr auto MaxProbeGap = std::chrono::milliseconds(1500);

}

LenderRole::LenderRole(LenderRoleOptions options)
    : m_options(options)
{
}

bool LenderRole::mayLend(const std::string &account, std::optional<std::size_t> position, Core::TimePoint now)
{
    auto &state = m_positions[account];
    if (position != 0) {
        state.firstSince.reset();
        return isLending(account, position, now);
    }
    state.silentSince.reset();
    state.firstSince = state.firstSince.value_or(now);
    const bool isEstablished = isLending(account, position, now);
    if (isEstablished) {
        state.firstUntil = now;
    }
    return isEstablished;
}

bool LenderRole::isLending(const std::string &account, std::optional<std::size_t> position, Core::TimePoint now) const
{
    const auto found = m_positions.find(account);
    if (found == m_positions.end()) {
        return false;
    }
    const auto &state = found->second;
    if (position == 0) {
        return state.firstSince.has_value() && now - *state.firstSince >= m_options.takeover;
    }
    if (state.firstUntil != Core::TimePoint {} && now - state.firstUntil < m_options.handover) {
        return true;
    }
    // Without recent probes it isn't known whether a host before this one lends again.
    const bool isSilent = state.silentSince.has_value() && now - *state.silentSince >= m_options.silence
        && now - state.probedAt <= MaxProbeGap;
    return position.has_value() && isSilent;
}

bool LenderRole::shouldProbe(const std::string &account, Core::TimePoint now)
{
    auto &state = m_positions[account];
    if (now - state.probedAt < ProbePeriod) {
        return false;
    }
    // Silence between probes that lie far apart proves nothing.
    if (now - state.probedAt > MaxProbeGap) {
        state.silentSince.reset();
    }
    state.probedAt = now;
    state.silentSince = state.silentSince.value_or(now);
    return true;
}

void LenderRole::recordLending(const std::string &account)
{
    m_positions[account].silentSince.reset();
}

bool LenderRole::shouldAskOthers(const std::string &account, Core::TimePoint now)
{
    auto &state = m_positions[account];
    const bool isWaiting = state.firstSince.has_value() && now - *state.firstSince < m_options.takeover;
    if (!isWaiting || now - state.probedAt < AskPeriod) {
        return false;
    }
    state.probedAt = now;
    return true;
}

void LenderRole::recordNoneLending(const std::string &account, Core::TimePoint now)
{
    if (auto &state = m_positions[account]; state.firstSince.has_value()) {
        state.firstSince = std::min(*state.firstSince, now - m_options.takeover);
    }
}

}
