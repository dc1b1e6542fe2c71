#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

// A holder of a target that may still carry out an eviction that it had decided on, because the target ignores
// fences and nothing shows yet that the holder has stopped.
struct FormerHolder {
    Core::HostId host;
    std::uint64_t incarnation = 0;
    std::vector<Core::AdapterVersion> allowance; // All that it may evict.

    bool operator==(const FormerHolder &) const = default;
};

// The table's row for one target. It is only changed in a transaction that names its former version.
struct OwnershipRow {
    Core::HostId owner;
    std::uint64_t incarnation = 0; // Of the owner.
    std::uint64_t session = 0; // The owner's lease session when it claimed; zero when the row was handed to it.
    std::uint64_t fence = 0;
    std::vector<Core::AdapterVersion> allowance; // What the owner may evict on a target that ignores fences.
    std::vector<FormerHolder> formers; // Oldest first.

    bool operator==(const OwnershipRow &) const = default;
};

constexpr std::string_view OwnershipTable = "ownership"; // By "zone/target".

[[nodiscard]] std::string toText(const OwnershipRow &row);
// Throws nlohmann::json::exception when the text isn't a row.
[[nodiscard]] OwnershipRow ownershipRowFromText(const std::string &text);

// The fence that a host takes after the given one: greater, and different from what another host would take, so
// that a target can decide between two that claim it without the table.
[[nodiscard]] std::uint64_t nextFence(std::uint64_t former, const Core::HostId &host, std::uint64_t incarnation);

}
