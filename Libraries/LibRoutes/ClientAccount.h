#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routes {

// What an account's allowance counts.
enum class AllowanceUnit { Requests, Tokens };

// A customer of the operators. Its callers identify themselves by one of its keys.
struct ClientAccount {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // 0 is the most urgent; empty if the priority of the route applies.
    AllowanceUnit unit = AllowanceUnit::Requests;
    std::uint64_t plainCost = 0; // Tokens that a request costs if it doesn't state its tokens.
    double ratePerSecond = 0; // Allowance over all hosts together, in units; zero for no limit.
    double burst = 0; // Units that may be used beyond the rate.

    // Whether the account has an allowance.
    [[nodiscard]] bool isLimited() const;
    // Units that a request costs, given the tokens that it states.
    [[nodiscard]] std::uint64_t costOf(std::optional<std::uint64_t> statedTokens) const;
};

}
