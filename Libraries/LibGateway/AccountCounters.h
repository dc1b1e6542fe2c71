#pragma once

#include <LibRoutes/ClientAccount.h>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Gateway {

// How the requests of one account have ended at this host.
struct AccountCounts {
    std::uint64_t served = 0; // Answered by a replica, without a server error.
    std::uint64_t refused429 = 0;
    std::uint64_t refused503 = 0; // For any reason, also if no replica had room.
};

// Counts how requests end, by account. Only accounts of the active configuration are counted, since their number is
// bounded while names of requests that are still open may be older.
class AccountCounters
{
public:
    // Replaces the accounts that are counted. Those that stay keep their counts.
    void setAccounts(std::span<const Routes::ClientAccount> accounts);
    // Counts a request by the status that its caller got; zero if the caller got none.
    void record(std::string_view account, unsigned status);
    // Zeros for an account that isn't counted.
    [[nodiscard]] AccountCounts counts(std::string_view account) const;

private:
    std::map<std::string, AccountCounts, std::less<>> m_counts;
};

}
