#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Holding {

// A host's row: it lives for as long as the row changes.
struct HostRow {
    Core::HostId host;
    Core::ZoneId zone;
    std::string peerAddress; // "host:port" for messages between hosts.
    std::uint64_t incarnation = 0; // Of the process.
    std::uint64_t renewal = 0; // Rises with each renewal.
    double weight = 1; // How much of the work it takes, beside the other hosts.
};

// The row that says which host gives orders to a replica.
struct HolderRow {
    Core::TargetId replica;
    Core::HostId holder; // Empty when the last holder has given it up.
    std::uint64_t incarnation = 0; // Of the holder's process.
    Core::HostId formerHolder; // Another host that held it before; empty when there was none.
};

// The keys and values of the rows, JSON. Reading gives no value for bytes that hold no such row.
[[nodiscard]] std::string hostKey(const Core::HostId &host);
[[nodiscard]] std::string holderKey(const Core::TargetId &replica);
[[nodiscard]] bool isHostKey(std::string_view key);
[[nodiscard]] std::string toText(const HostRow &row);
[[nodiscard]] std::string toText(const HolderRow &row);
[[nodiscard]] std::optional<HostRow> hostRowFromText(std::string_view text);
[[nodiscard]] std::optional<HolderRow> holderRowFromText(std::string_view text);

}
