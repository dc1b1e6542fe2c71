#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Gateway {

// The client account of a request.
struct RequestAccount {
    // Empty on public routes; no value if the configuration has no accounts.
    std::optional<std::string> name;
    std::optional<int> priority; // Replaces the priority of the route.
    // Units that the request has taken from the account's allowance; zero if the account isn't limited.
    std::uint64_t cost = 0;
};

}
