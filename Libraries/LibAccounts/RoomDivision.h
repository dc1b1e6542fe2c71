#pragma once

#include <span>

namespace Accounts {

// What an account demands of a server without room for all, and what it gets. All amounts are requests per second.
struct AccountClaim {
    int priority = 0; // 0 is the most urgent.
    double weight = 0; // The usual rate of the account; more than zero.
    double demand = 0; // Its present rate.
    double amount = 0; // The result, at most the demand.

    // The part of its usual rate that the account uses.
    [[nodiscard]] double usualDemand() const;
};

// Divides the room among the claims:
// - Each claim gets at least the given part of what the room would give its usual demand if all were cut alike.
// - Usual demands are met before demands beyond them, and more urgent claims before others.
// - Claims of one priority are cut in proportion to their weights. What one doesn't use goes to the others.
// The claims are sorted by priority, the most urgent first.
void divideRoom(std::span<AccountClaim> claims, double room, double leastPart);

}
