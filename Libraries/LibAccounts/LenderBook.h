#pragma once

#include <LibAccounts/AllowanceOverview.h>
#include <LibAccounts/AllowanceTerms.h>
#include <LibAccounts/BorrowerGroups.h>
#include <LibCore/Time.h>
#include <map>
#include <string>
#include <string_view>

namespace Accounts {

struct LenderBookOptions {
    // Loans that were refused within this time are expected to be asked for again.
    Core::Duration demandWindow = std::chrono::milliseconds(1000);
    // The longest time for which a borrower is sent away. Demand may have gone elsewhere by then.
    Core::Duration maxRetryAfter = std::chrono::milliseconds(1200);
    // A bucket holds at least what accrues within this time, for accounts without a burst.
    Core::Duration minBucketTime = std::chrono::milliseconds(250);
    BorrowerGroupsOptions groups;
    Core::Duration silenceCheckPeriod = std::chrono::milliseconds(100);
    double maxHeadroom = 2;
    // Part of the rate that hosts may use without a lender, since the lender may still be lending to some of them.
    double unlentShare = 0.85;
};

// What a borrower asks for; all amounts in units.
struct LoanRequest {
    Core::HostId host;
    Core::ZoneId zone; // Of the host.
    double least = 0;
    double wanted = 0;
    double returned = 0;
    double unlent = 0; // Used while no lender replied; taken from the bucket as far as it reaches.
};

struct Loan {
    double amount = 0; // Zero if refused.
    Core::Duration retryAfter {}; // After a refusal.
    // Without a lender, each host may use this multiple of what it was lent lately.
    double headroom = 1;
};

// The allowances that this host lends to all hosts: a token bucket per account. A bucket starts empty when the host
// becomes the lender, so that two lenders in succession never lend more than one would have. The part of hosts that may
// be cut off is held back.
class LenderBook
{
public:
    explicit LenderBook(LenderBookOptions options = {});

    // Starts an empty bucket unless there is one, and applies changed terms to an existing one.
    void open(const AllowanceTerms &terms, Core::TimePoint now);
    // Drops the bucket of an account for which this host no longer lends.
    void close(std::string_view account);
    // Lends between the least and the wanted amount, or refuses. A request that costs more than the burst is allowed
    // when the bucket is full, and puts it into debt. Refuses accounts that aren't open.
    [[nodiscard]] Loan lend(std::string_view account, const LoanRequest &request, Core::TimePoint now);
    // Describes the bucket of the account; no value if it isn't open. Changes nothing.
    [[nodiscard]] std::optional<LentOverview> overview(std::string_view account, Core::TimePoint now) const;

private:
    struct Bucket {
        AllowanceTerms terms;
        double level = 0;
        Core::TimePoint filledAt {};
        double refused = 0; // Units refused lately; decays.
        Core::TimePoint refusedAt {};
        BorrowerGroups borrowers;
        double silentRate = 0; // Of hosts that may be using the allowance without this lender.
        Core::TimePoint silenceCheckedAt {};
    };

    [[nodiscard]] double capacity(const AllowanceTerms &terms) const;
    [[nodiscard]] double levelAt(const Bucket &bucket, Core::TimePoint now) const;
    void refill(Bucket &bucket, Core::TimePoint now) const;
    [[nodiscard]] double refusedLately(const Bucket &bucket, Core::TimePoint now) const;

    LenderBookOptions m_options;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

}
