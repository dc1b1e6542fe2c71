#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

// A previous owner of a target that ignores fencing tokens. Until it is shown to have stopped, it may still carry out
// an eviction that it had decided on.
struct PreviousHolder {
    Core::HostId host;
    std::uint64_t incarnation = 0;
    std::vector<Core::AdapterVersion> evictionAllowlist; // The only adapters that it may evict.

    bool operator==(const PreviousHolder &) const = default;
};

// The table's row for one target. It is changed only by a transaction conditional on the version that was read.
struct OwnershipRow {
    Core::HostId owner;
    std::uint64_t incarnation = 0; // The owner's incarnation.
    std::uint64_t session = 0; // The owner's lease session when it claimed; zero when the row was handed over to it.
    std::uint64_t fence = 0; // The ownership's fencing token.
    std::vector<Core::AdapterVersion> evictionAllowlist; // What the owner may evict on a target that ignores fences.
    std::vector<PreviousHolder> previousHolders; // Oldest first.

    bool operator==(const OwnershipRow &) const = default;
};

constexpr std::string_view OwnershipTable = "ownership"; // Keys are "zone/target".

[[nodiscard]] std::string toText(const OwnershipRow &row);
// Throws nlohmann::json::exception when the text isn't a valid row.
[[nodiscard]] OwnershipRow ownershipRowFromText(const std::string &text);

// Returns the fencing token for the host's next ownership. It is greater than the previous one and differs from what
// another host would choose, so that a target can decide between two claimants without the table.
[[nodiscard]] std::uint64_t nextFence(std::uint64_t previous, const Core::HostId &host, std::uint64_t incarnation);

}
