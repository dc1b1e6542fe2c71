#pragma once

#include <LibRoutes/ClientAccount.h>
#include <span>
#include <string_view>
#include <unordered_map>

namespace Routes {

// Finds the account that a key belongs to. The time of a search doesn't depend on the number of keys, and reveals
// nothing of their content: the hash is seeded with a random number of this process, and the keys that share the hash
// are compared in constant time.
class AccountKeys
{
public:
    // The accounts must outlive the index. Empty keys are left out.
    explicit AccountKeys(std::span<const ClientAccount> accounts);

    // The account that holds the key, or null.
    [[nodiscard]] const ClientAccount *find(std::string_view key) const;

private:
    struct Entry {
        std::string_view key;
        const ClientAccount *account = nullptr;
    };

    std::uint64_t m_seed;
    std::unordered_multimap<std::uint64_t, Entry> m_entries;
};

}
