#pragma once

#include <LibAccounts/AllowanceOverview.h>
#include <LibGateway/AccountCounters.h>

namespace Gateway {

// The accounts of the active configuration as far as one host knows them. It holds no keys.
struct AccountOverview {
    struct Account {
        std::string name;
        std::optional<int> priority; // Empty if the priority of the route applies.
        Routes::AllowanceUnit unit = Routes::AllowanceUnit::Requests;
        double ratePerSecond = 0; // Zero for no limit.
        double burst = 0;
        std::size_t keyCount = 0;
        std::optional<Accounts::AllowanceOverview> allowance; // Only for an account with a limit.
        AccountCounts counts;
    };

    Core::HostId host;
    std::optional<std::uint64_t> configuration; // Its version; empty before the first one.
    std::vector<Account> accounts; // In the order of the configuration.
};

}
