#pragma once

#include <LibAccounts/AllowanceOverview.h>
#include <LibAccounts/LenderBook.h>
#include <deque>
#include <optional>

namespace Accounts {

struct BorrowerBookOptions {
    // From the sending of the request for a loan. What is lent within a window is used within the window and this time
    // more, which is well below the tenth by which an allowance may be exceeded in a window of eight seconds.
    Core::Duration lease = std::chrono::milliseconds(500);
    // A loan covers the expected use within this time, which leaves time for the reply before the lease ends.
    Core::Duration prefetch = std::chrono::milliseconds(300);
    Core::Duration useHalfLife = std::chrono::milliseconds(700); // Of past use in the expected use.
    // Of past loans in the rate at which the host continues without a lender.
    Core::Duration lentHalfLife = std::chrono::milliseconds(4000);
    Core::Duration maxUnlentTime = std::chrono::milliseconds(1000); // Use that may accumulate without a lender.
    // From 0 to 1; differs between hosts. Without a lender each host waits for this part of its first request if the
    // account uses most of its allowance, as all of them would otherwise take one request at the same time.
    double phase = 1;
};

// What to do with a request that takes a part of an allowance.
enum class TakeOutcome {
    Taken,
    // The lender has to be asked first.
    Ask,
    Refused,
};

struct TakeResult {
    TakeOutcome outcome = TakeOutcome::Refused;
    LoanRequest loan; // With Ask.
    Core::Duration retryAfter {}; // With Refused.
};

// What this host has borrowed of the allowances of accounts and hasn't used.
class BorrowerBook
{
public:
    explicit BorrowerBook(BorrowerBookOptions options = {});

    // Takes the cost of a request from the loans. After a refusal by the lender, refuses for as long as it said.
    [[nodiscard]] TakeResult take(const std::string &account, double cost, Core::TimePoint now);
    // Records the lender's answer to a request for a loan that was sent at the given time.
    void recordLoan(const std::string &account, const Loan &loan, Core::TimePoint sentAt, Core::TimePoint now);
    // Takes the cost without a lender, at the rate of the latest loans. Over all hosts these rates amount to the rate
    // at which the lender has lent.
    [[nodiscard]] TakeResult takeUnlent(const std::string &account, double cost, Core::TimePoint now);
    // Records again what a request for a loan said was used without a lender, since no lender has received it.
    void restoreUnlent(const std::string &account, double unlent);
    // Returns the cost of a request that didn't run.
    void giveBack(const std::string &account, double cost, Core::TimePoint now);
    // Describes what the host has borrowed for the account. Changes nothing.
    [[nodiscard]] BorrowedOverview overview(const std::string &account, Core::TimePoint now) const;
    // Forgets accounts that haven't been used for long. To be called periodically.
    void prune(Core::TimePoint now);

private:
    struct Held {
        double amount = 0;
        Core::TimePoint leaseEnd {};
    };
    struct Account {
        explicit Account(const BorrowerBookOptions &options);

        std::deque<Held> loans; // By the end of their lease.
        double returned = 0; // Lapsed and not returned to the lender yet.
        DecayingRate use;
        DecayingRate unlentUse; // Without a lender; not part of the expected use.
        DecayingRate lent;
        double headroom = 1; // As the lender last said.
        Core::TimePoint refusedUntil {};
        std::optional<Core::TimePoint> unlentSince; // Of the rate that follows; empty while there is a lender.
        double unlentRate = 0;
        double unlentLevel = 0;
        double unlentUsed = 0; // Not reported to a lender yet.
        Core::TimePoint usedAt {};
    };

    Account &accountOf(const std::string &name);
    void expire(Account &account, Core::TimePoint now) const;
    [[nodiscard]] static double available(const Account &account);

    BorrowerBookOptions m_options;
    std::map<std::string, Account> m_accounts;
};

}
