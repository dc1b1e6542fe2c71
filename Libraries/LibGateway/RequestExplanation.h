#pragma once

#include <LibGateway/FleetExplanation.h>
#include <LibGateway/Refusal.h>
#include <LibRoutes/ClientAccount.h>

namespace Gateway {

// What an explanation needs besides the head of the request.
struct ExplanationOptions {
    std::optional<std::string> account; // Name of the account in place of a key.
    std::size_t bodyBytes = 0;
    std::string fallbackId; // Identifies the request if its head has no identifier.
};

// The account of a request and its allowance. The keys are left out on purpose.
struct AccountExplanation {
    std::string name; // Empty on public routes.
    std::uint64_t cost = 0; // Units that the request would take from the allowance; zero if the account isn't limited.
    bool isLimited = false;
    double ratePerSecond = 0;
    double burst = 0;
    Routes::AllowanceUnit unit = Routes::AllowanceUnit::Requests;
};

// How this host would handle a request now. What wasn't reached because of an earlier refusal is empty.
struct RequestExplanation {
    Core::HostId host;
    Core::ZoneId zone;
    std::optional<std::uint64_t> configuration; // Version of the active configuration.
    std::string requestId;
    bool isIdMadeUp = false; // The head has no identifier, so that another request may be sent elsewhere.
    std::string route;
    std::string service;
    std::optional<AccountExplanation> account; // Empty if requests need no account or the account isn't known.
    std::optional<int> priority; // 0 is the most urgent.
    FleetExplanation fleet;
    std::optional<Refusal> refusal; // Empty if the request would be sent to the chosen replica.

    // The replica to which the request would be sent, or null if it would be refused.
    [[nodiscard]] const ReplicaExplanation *choice() const
    {
        return refusal.has_value() || !fleet.choice.has_value() ? nullptr : &fleet.replicas[*fleet.choice];
    }
};

}
