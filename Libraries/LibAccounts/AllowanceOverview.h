#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <optional>
#include <vector>

namespace Accounts {

// What the lender of an account knows of its allowance, in units of the account.
struct LentOverview {
    double level = 0; // Units in the bucket; below zero after a request that cost more than the burst.
    double perSecond = 0; // Units per second that were lent to all hosts lately.
};

// What a host has borrowed of an account's allowance, in units of the account.
struct BorrowedOverview {
    double unused = 0; // Of loans whose lease hasn't ended.
    double usedPerSecond = 0; // Units per second that requests have taken at this host lately.
    Core::Duration refusedFor {}; // Until the host asks the lender again; zero unless the lender has refused.
    bool isWithoutLender = false; // No lender has replied to the latest request for a loan.
};

// The allowance of one account as far as one host knows it.
struct AllowanceOverview {
    std::vector<Core::HostId> lenders; // In order of preference; this host if it knows of none.
    std::optional<LentOverview> lent; // Only at the host that lends.
    BorrowedOverview borrowed;
};

}
