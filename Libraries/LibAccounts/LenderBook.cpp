#include <LibAccounts/LenderBook.h>

#include <algorithm>

namespace Accounts {

namespace {

using Seconds = std::chrono::duration<double>;

}

LenderBook::LenderBook(LenderBookOptions options)
    : m_options(options)
{
}

double LenderBook::capacity(const AllowanceTerms &terms) const
{
    return std::max(terms.burst, terms.ratePerSecond * Seconds(m_options.minBucketTime).count());
}

double LenderBook::levelAt(const Bucket &bucket, Core::TimePoint now) const
{
    const auto elapsed = std::max(Seconds(now - bucket.filledAt).count(), 0.0);
    const auto rate = std::max(bucket.terms.ratePerSecond - bucket.silentRate, 0.0);
    return std::min(bucket.level + elapsed * rate, capacity(bucket.terms));
}

void LenderBook::refill(Bucket &bucket, Core::TimePoint now) const
{
    bucket.level = levelAt(bucket, now);
    bucket.filledAt = now;
    if (now - bucket.silenceCheckedAt >= m_options.silenceCheckPeriod) {
        bucket.silenceCheckedAt = now;
        bucket.silentRate = bucket.borrowers.silentRate(now);
    }
}

void LenderBook::open(const AllowanceTerms &terms, Core::TimePoint now)
{
    if (const auto found = m_buckets.find(terms.account); found != m_buckets.end()) {
        refill(found->second, now);
        found->second.terms = terms;
        found->second.level = std::min(found->second.level, capacity(terms));
        return;
    }
    m_buckets.emplace(terms.account,
                      Bucket {.terms = terms, .filledAt = now, .borrowers = BorrowerGroups(m_options.groups)});
}

void LenderBook::close(std::string_view account)
{
    if (const auto found = m_buckets.find(account); found != m_buckets.end()) {
        m_buckets.erase(found);
    }
}

double LenderBook::refusedLately(const Bucket &bucket, Core::TimePoint now) const
{
    const auto share = 1 - Seconds(now - bucket.refusedAt) / Seconds(m_options.demandWindow);
    return bucket.refused * std::clamp(share, 0.0, 1.0);
}

Loan LenderBook::lend(std::string_view account, const LoanRequest &request, Core::TimePoint now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end()) {
        return {.retryAfter = m_options.maxRetryAfter};
    }
    auto &bucket = found->second;
    refill(bucket, now);
    bucket.borrowers.recordRequest(request.host, request.zone, now);
    const auto full = capacity(bucket.terms);
    bucket.level = std::min(bucket.level + std::max(request.returned, 0.0), full);
    // The bucket has gone on filling meanwhile, but not by more than it holds.
    bucket.level = std::max(bucket.level - std::max(request.unlent, 0.0), std::min(bucket.level, 0.0));
    const auto least = std::max(request.least, 0.0);
    const auto needed = std::min(least, full);
    if (bucket.level >= needed) {
        const auto amount = std::max(least, std::min(std::max(request.wanted, 0.0), bucket.level));
        bucket.level -= amount;
        bucket.borrowers.recordLoan(request.host, request.zone, amount, now);
        const auto lentRate = std::max(bucket.borrowers.lentRate(now), 1e-9);
        return {.amount = amount,
                .headroom
                = std::min(m_options.unlentShare * bucket.terms.ratePerSecond / lentRate, m_options.maxHeadroom)};
    }
    const auto ahead = refusedLately(bucket, now);
    const Seconds wait((needed - bucket.level + ahead) / bucket.terms.ratePerSecond);
    bucket.refused = ahead + least;
    bucket.refusedAt = now;
    return {.retryAfter = std::min(std::chrono::duration_cast<Core::Duration>(std::min(wait, Seconds(3600))),
                                   m_options.maxRetryAfter)};
}

std::optional<LentOverview> LenderBook::overview(std::string_view account, Core::TimePoint now) const
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end()) {
        return std::nullopt;
    }
    return LentOverview {.level = levelAt(found->second, now), .perSecond = found->second.borrowers.lentRate(now)};
}

}
