#include <LibAccounts/BorrowerBook.h>

#include <algorithm>
#include <utility>

namespace Accounts {

namespace {

using Seconds = std::chrono::duration<double>;

// An account that hasn't been used for this long has neither loans nor a recent rate.
constexpr auto ForgetAfter = std::chrono::seconds(60);
constexpr auto MinRetryAfter = std::chrono::milliseconds(200);
constexpr auto MaxRetryAfter = std::chrono::seconds(2);

}

BorrowerBook::Account::Account(const BorrowerBookOptions &options)
    : use(options.useHalfLife)
    , unlentUse(options.useHalfLife)
    , lent(options.lentHalfLife)
{
}

BorrowerBook::BorrowerBook(BorrowerBookOptions options)
    : m_options(options)
{
}

BorrowerBook::Account &BorrowerBook::accountOf(const std::string &name)
{
    return m_accounts.try_emplace(name, m_options).first->second;
}

void BorrowerBook::expire(Account &account, Core::TimePoint now) const
{
    while (!account.loans.empty() && account.loans.front().leaseEnd <= now) {
        account.returned += account.loans.front().amount;
        account.loans.pop_front();
    }
}

double BorrowerBook::available(const Account &account)
{
    double sum = 0;
    for (const auto &loan : account.loans) {
        sum += loan.amount;
    }
    return sum;
}

TakeResult BorrowerBook::take(const std::string &name, double cost, Core::TimePoint now)
{
    auto &account = accountOf(name);
    account.usedAt = now;
    expire(account, now);
    if (const auto held = available(account); held < cost) {
        if (now < account.refusedUntil) {
            return {.outcome = TakeOutcome::Refused, .retryAfter = account.refusedUntil - now};
        }
        const auto least = cost - held;
        const auto expected = account.use.perSecond(now) * Seconds(m_options.prefetch).count();
        return {.outcome = TakeOutcome::Ask,
                .loan = {.least = least,
                         .wanted = least + expected,
                         .returned = std::exchange(account.returned, 0),
                         .unlent = std::exchange(account.unlentUsed, 0)}};
    }
    account.use.add(cost, now);
    for (auto left = cost; left > 0 && !account.loans.empty();) {
        auto &loan = account.loans.front();
        const auto part = std::min(left, loan.amount);
        loan.amount -= part;
        left -= part;
        if (loan.amount <= 0) {
            account.loans.pop_front();
        }
    }
    return {.outcome = TakeOutcome::Taken};
}

void BorrowerBook::recordLoan(const std::string &name, const Loan &loan, Core::TimePoint sentAt, Core::TimePoint now)
{
    auto &account = accountOf(name);
    account.unlentSince.reset();
    account.lent.add(loan.amount, now);
    if (loan.amount <= 0) {
        account.refusedUntil = std::max(account.refusedUntil, now + loan.retryAfter);
        return;
    }
    account.refusedUntil = {};
    account.headroom = loan.headroom;
    account.loans.push_back({.amount = loan.amount, .leaseEnd = sentAt + m_options.lease});
}

TakeResult BorrowerBook::takeUnlent(const std::string &name, double cost, Core::TimePoint now)
{
    auto &account = accountOf(name);
    account.usedAt = now;
    expire(account, now);
    if (!account.unlentSince.has_value()) {
        account.unlentRate = account.lent.perSecond(now) * account.headroom;
        account.unlentLevel = -m_options.phase * cost * std::clamp(2 - account.headroom, 0.0, 1.0);
        account.unlentSince = now;
    }
    const auto accrued = account.unlentRate * Seconds(now - *account.unlentSince).count();
    const auto most = account.unlentRate * Seconds(m_options.maxUnlentTime).count();
    account.unlentLevel = std::min(account.unlentLevel + accrued, most);
    account.unlentSince = now;
    // A request costs more than accrues in seconds at a host that rarely borrows, and is taken as a debt.
    if (account.unlentLevel > 0) {
        account.unlentLevel -= cost;
        account.unlentUsed += cost;
        account.unlentUse.add(cost, now);
        return {.outcome = TakeOutcome::Taken};
    }
    const Seconds missing(-account.unlentLevel / std::max(account.unlentRate, 1e-9));
    return {.outcome = TakeOutcome::Refused,
            .retryAfter
            = std::chrono::duration_cast<Core::Duration>(std::clamp<Seconds>(missing, MinRetryAfter, MaxRetryAfter))};
}

void BorrowerBook::restoreUnlent(const std::string &name, double unlent)
{
    accountOf(name).unlentUsed += unlent;
}

void BorrowerBook::giveBack(const std::string &name, double cost, Core::TimePoint now)
{
    auto &account = accountOf(name);
    expire(account, now);
    if (account.unlentSince.has_value()) {
        account.unlentLevel += cost;
        account.unlentUsed = std::max(account.unlentUsed - cost, 0.0);
    } else if (!account.loans.empty()) {
        account.loans.back().amount += cost;
    } else {
        account.returned += cost;
    }
}

BorrowedOverview BorrowerBook::overview(const std::string &name, Core::TimePoint now) const
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end()) {
        return {};
    }
    const auto &account = found->second;
    BorrowedOverview overview {.usedPerSecond = account.use.perSecond(now) + account.unlentUse.perSecond(now),
                               .refusedFor = std::max<Core::Duration>(account.refusedUntil - now, {}),
                               .isWithoutLender = account.unlentSince.has_value()};
    for (const auto &loan : account.loans) {
        overview.unused += loan.leaseEnd > now ? loan.amount : 0;
    }
    return overview;
}

void BorrowerBook::prune(Core::TimePoint now)
{
    std::erase_if(m_accounts, [now](const auto &entry) {
        return now - entry.second.usedAt > ForgetAfter;
    });
}

}
