#include <LibAccounts/RoomDivision.h>

#include <algorithm>
#include <numeric>

namespace Accounts {

namespace {

// Halvings of the range in which the level of a group lies. The result is exact to a millionth of a millionth.
constexpr int LevelSteps = 40;

using LimitFunction = double (*)(const AccountClaim &claim);

double usualLimit(const AccountClaim &claim)
{
    return claim.usualDemand();
}

double fullLimit(const AccountClaim &claim)
{
    return claim.demand;
}

// The amount of the claim if the amounts of its group are at the level, relative to their weights.
double amountAt(const AccountClaim &claim, double level, LimitFunction limit)
{
    return std::max(claim.amount, std::min(limit(claim), level * claim.weight));
}

// The room that raising the group to the level takes.
double roomFor(std::span<const AccountClaim> group, double level, LimitFunction limit)
{
    return std::accumulate(group.begin(), group.end(), 0.0, [level, limit](double sum, const auto &claim) {
        return sum + amountAt(claim, level, limit) - claim.amount;
    });
}

// Raises the amounts of the group to their limits as far as the room lasts. Returns the room that is left.
double fill(std::span<AccountClaim> group, double room, LimitFunction limit)
{
    double high = 0; // A level at which all claims are at their limits.
    for (const auto &claim : group) {
        high = std::max(high, limit(claim) / claim.weight);
    }
    double level = high;
    if (roomFor(group, high, limit) > room) {
        level = 0;
        for (int step = 0; step < LevelSteps; ++step) {
            const auto middle = (level + high) / 2;
            (roomFor(group, middle, limit) > room ? high : level) = middle;
        }
    }
    const auto left = room - roomFor(group, level, limit);
    for (auto &claim : group) {
        claim.amount = amountAt(claim, level, limit);
    }
    return left;
}

}

double AccountClaim::usualDemand() const
{
    return std::min(weight, demand);
}

void divideRoom(std::span<AccountClaim> claims, double room, double leastPart)
{
    const auto usual = std::accumulate(claims.begin(), claims.end(), 0.0, [](double sum, const auto &claim) {
        return sum + claim.usualDemand();
    });
    auto left = room;
    for (auto &claim : claims) {
        claim.amount = usual > 0 ? std::min(claim.demand, leastPart * room * claim.usualDemand() / usual) : 0;
        left -= claim.amount;
    }
    for (const LimitFunction limit : {&usualLimit, &fullLimit}) {
        for (auto begin = claims.begin(); begin != claims.end();) {
            const auto end = std::find_if(begin, claims.end(), [begin](const auto &claim) {
                return claim.priority != begin->priority;
            });
            left = fill({begin, end}, std::max(left, 0.0), limit);
            begin = end;
        }
    }
}

}
