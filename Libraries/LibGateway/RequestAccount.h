#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <optional>
#include <set>
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

// Which replicas of a plain service have room for a request of an account, decided once for all attempts.
struct AccountAdmission {
    std::set<Core::TargetId> replicasWithoutRoom;
    // One of these replicas has room for the request by its admission share alone, but not for its account.
    bool isDueToAccount = false;
};

}
