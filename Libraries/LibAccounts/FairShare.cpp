#include <LibAccounts/FairShare.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Accounts {

namespace {

using Seconds = std::chrono::duration<double>;

// How much the request counts that is being decided, as it decays to a half on average before the others are decided.
// If it counted in full, every account would seem to send more when its own requests are decided, and too little is
// sent.
constexpr double PendingCount = 0.5;

// The present rate of an account right after its only request. It shows no excess, although it is far above the usual
// rate of an account that sends less than one request in the half-life.
double singleRate(const FairShareOptions &options)
{
    DecayingRate rate(options.presentHalfLife);
    rate.add(1, {});
    return rate.perSecond({});
}

bool isMoreUrgent(const AccountClaim &left, const AccountClaim &right)
{
    return left.priority < right.priority;
}

}

FairShare::Account::Account(const FairShareOptions &options, Core::TimePoint now)
    : usual(options.usualHalfLife)
    , present(options.presentHalfLife)
    , firstAt(now)
    , lastAt(now)
{
}

void FairShare::Account::record(int newPriority, const FairShareOptions &options, Core::TimePoint now)
{
    present.add(1, now);
    const auto maxRate = options.maxUsualMultiple * std::max(usual.perSecond(now), singleRate(options));
    const auto maxCredit = 1 + maxRate * Seconds(options.maxUsualBurst).count();
    credit = std::min(maxCredit, credit + maxRate * Seconds(now - lastAt).count());
    const auto counted = now - firstAt < options.newAccountTime ? 1 : std::min(1.0, credit);
    credit = std::max(0.0, credit - counted);
    usual.add(counted, now);
    priority = newPriority;
    lastAt = now;
}

FairShare::FairShare(FairShareOptions options)
    : m_options(options)
{
}

void FairShare::recordRequest(std::string_view account, int priority, Core::TimePoint now)
{
    if (isForgotten(now)) {
        m_accounts.clear();
        m_since = now;
    }
    m_lastAt = now;
    auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        forgetSilent(now);
        found = m_accounts.emplace(account, Account(m_options, now)).first;
    }
    found->second.record(priority, m_options, now);
}

bool FairShare::isForgotten(Core::TimePoint now) const
{
    return m_accounts.empty() || now - m_lastAt >= m_options.retention;
}

void FairShare::forgetSilent(Core::TimePoint now)
{
    std::erase_if(m_accounts, [this, now](const auto &entry) {
        return now - entry.second.lastAt >= m_options.retention;
    });
    if (m_accounts.size() >= m_options.maxAccounts) {
        m_accounts.erase(
            std::min_element(m_accounts.begin(), m_accounts.end(), [](const auto &left, const auto &right) {
                return left.second.lastAt < right.second.lastAt;
            }));
    }
}

double FairShare::learnedPart(Core::TimePoint now) const
{
    return 1 - std::exp2(-Seconds(now - m_since) / Seconds(m_options.usualHalfLife));
}

AccountClaim FairShare::claimOf(const Account &account, Core::TimePoint now) const
{
    return {.priority = account.priority,
            .weight = account.usual.perSecond(now) / learnedPart(now),
            .demand = account.present.perSecond(now)};
}

std::vector<AccountClaim> FairShare::claimsBeside(std::string_view account, Core::TimePoint now) const
{
    std::vector<AccountClaim> claims;
    claims.reserve(m_accounts.size() + 1);
    for (const auto &[name, other] : m_accounts) {
        if (name != account) {
            claims.push_back(claimOf(other, now));
        }
    }
    return claims;
}

void FairShare::raiseWeights(std::span<AccountClaim> claims) const
{
    const auto usual = std::accumulate(claims.begin(), claims.end(), 0.0, [](double sum, const auto &claim) {
        return sum + claim.weight;
    });
    const auto mean = usual / static_cast<double>(claims.size());
    const auto least = std::max(singleRate(m_options), m_options.newAccountPart * mean);
    for (auto &claim : claims) {
        claim.weight = std::max(claim.weight, std::min(claim.demand, least));
    }
}

double FairShare::partOf(std::string_view account, int priority, double share, Core::TimePoint now) const
{
    if (share >= 1 || isForgotten(now) || now - m_since < m_options.learningTime) {
        return std::min(share, 1.0);
    }
    const auto found = m_accounts.find(account);
    auto own = found == m_accounts.end() ? Account(m_options, now) : found->second;
    own.priority = priority;
    own.usual.add(PendingCount, now);
    own.present.add(PendingCount, now);
    auto claims = claimsBeside(account, now);
    claims.push_back(claimOf(own, now));
    raiseWeights(claims);
    const auto demand = std::accumulate(claims.begin(), claims.end(), 0.0, [](double sum, const auto &claim) {
        return sum + claim.demand;
    });
    const auto ownClaim = claims.back();
    claims.pop_back();
    std::sort(claims.begin(), claims.end(), isMoreUrgent);
    const auto place = claims.insert(std::upper_bound(claims.begin(), claims.end(), ownClaim, isMoreUrgent), ownClaim);
    divideRoom(claims, share * demand, m_options.leastPart);
    return place->amount / place->demand;
}

}
