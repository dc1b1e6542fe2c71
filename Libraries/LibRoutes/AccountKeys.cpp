#include <LibRoutes/AccountKeys.h>

#include <LibCore/ConstantTime.h>
#include <LibCore/Rendezvous.h>
#include <random>

namespace Routes {

namespace {

std::uint64_t processSeed()
{
    static const std::uint64_t seed = [] {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }();
    return seed;
}

}

AccountKeys::AccountKeys(std::span<const ClientAccount> accounts)
    : m_seed(processSeed())
{
    for (const auto &account : accounts) {
        for (const auto &key : account.keys) {
            if (!key.empty()) {
                m_entries.emplace(Core::stableHash(key, m_seed), Entry {.key = key, .account = &account});
            }
        }
    }
}

const ClientAccount *AccountKeys::find(std::string_view key) const
{
    const ClientAccount *found = nullptr;
    const auto [begin, end] = m_entries.equal_range(Core::stableHash(key, m_seed));
    for (auto entry = begin; entry != end; ++entry) {
        if (Core::isEqualInConstantTime(entry->second.key, key)) {
            found = entry->second.account;
        }
    }
    return found;
}

}
