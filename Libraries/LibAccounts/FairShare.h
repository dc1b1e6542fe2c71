#pragma once

#include <LibAccounts/DecayingRate.h>
#include <LibAccounts/RoomDivision.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Accounts {

struct FairShareOptions {
    Core::Duration usualHalfLife = std::chrono::seconds(8); // Of the rate that an account usually sends at.
    Core::Duration presentHalfLife = std::chrono::seconds(1); // Of the rate that it sends at now.
    // Requests beyond this multiple of the usual rate don't raise it, so that an account that sends far more than usual
    // for some seconds doesn't earn room by it. All requests of an account that isn't known for long raise it.
    double maxUsualMultiple = 1.5;
    Core::Duration newAccountTime = std::chrono::seconds(16);
    Core::Duration maxUsualBurst = std::chrono::milliseconds(500); // At that multiple of the usual rate.
    // Until this long after the first request, the usual rates say too little and accounts aren't told apart.
    Core::Duration learningTime = std::chrono::seconds(4);
    // An account that has sent nothing for this long is forgotten. Less than 1 in 200 of its usual rate is left then.
    Core::Duration retention = std::chrono::seconds(64);
    // Each account keeps this part of what it would get if all were cut alike.
    double leastPart = 0.25;
    // An account without a usual rate, such as a new one, may send at this part of the mean usual rate.
    double newAccountPart = 0.25;
    std::size_t maxAccounts = 512; // Beyond these, the one that has been silent for longest is forgotten.
};

// The parts of their requests that a host sends to a server which has room for a share of all requests only. An account
// that sends far more than usual is cut first, and the others get about what they get without it. All accounts that
// send at their usual rates and are equally urgent are cut alike.
class FairShare
{
public:
    explicit FairShare(FairShareOptions options = {});

    // Records that a request of the account has arrived.
    void recordRequest(std::string_view account, int priority, Core::TimePoint now);
    // The part of the account's requests to send while the given share of all requests may be sent, up to 1. One more
    // request of the account, which isn't recorded yet, is taken into account.
    [[nodiscard]] double partOf(std::string_view account, int priority, double share, Core::TimePoint now) const;
    // Whether there have been no requests for so long that nothing is known.
    [[nodiscard]] bool isForgotten(Core::TimePoint now) const;

private:
    struct Account {
        Account(const FairShareOptions &options, Core::TimePoint now);
        void record(int newPriority, const FairShareOptions &options, Core::TimePoint now);

        DecayingRate usual;
        DecayingRate present;
        int priority = 0;
        double credit = 0; // Requests that may raise the usual rate.
        Core::TimePoint firstAt {};
        Core::TimePoint lastAt {};
    };

    void forgetSilent(Core::TimePoint now);
    // The claims of all other accounts. The weights are yet to be raised for accounts without a usual rate.
    [[nodiscard]] std::vector<AccountClaim> claimsBeside(std::string_view account, Core::TimePoint now) const;
    [[nodiscard]] AccountClaim claimOf(const Account &account, Core::TimePoint now) const;
    // Raises the weights of accounts whose usual rate is small or unknown.
    void raiseWeights(std::span<AccountClaim> claims) const;
    // The part of a constant rate that the usual rates contain by now.
    [[nodiscard]] double learnedPart(Core::TimePoint now) const;

    FairShareOptions m_options;
    std::map<std::string, Account, std::less<>> m_accounts;
    Core::TimePoint m_since {}; // Of the first request.
    Core::TimePoint m_lastAt {}; // Of the last request.
};

}
