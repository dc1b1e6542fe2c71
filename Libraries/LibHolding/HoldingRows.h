#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Holding {

// The row of a host. The host counts as live while the row keeps changing.
struct HostRow {
    Core::HostId host;
    Core::ZoneId zone;
    std::string peerAddress; // "host:port" for messages between hosts.
    std::uint64_t incarnation = 0; // Identifies the process.
    std::uint64_t renewal = 0; // Incremented by each renewal.
    double weight = 1; // Share of the work relative to the other hosts.
};

// The row of a replica. It names the host that sends orders to the replica.
struct HolderRow {
    Core::TargetId replica;
    Core::HostId holder; // Empty if the last holder has released the replica.
    std::uint64_t incarnation = 0; // Identifies the process of the holder.
    Core::HostId previousHolder; // The last holder other than the current one; empty if there was none.
};

// Keys and JSON values of the rows. Parsing returns no value if the text is not a valid row.
[[nodiscard]] std::string hostKey(const Core::HostId &host);
[[nodiscard]] std::string holderKey(const Core::TargetId &replica);
[[nodiscard]] bool isHostKey(std::string_view key);
[[nodiscard]] std::string toText(const HostRow &row);
[[nodiscard]] std::string toText(const HolderRow &row);
[[nodiscard]] std::optional<HostRow> hostRowFromText(std::string_view text);
[[nodiscard]] std::optional<HolderRow> holderRowFromText(std::string_view text);

}
