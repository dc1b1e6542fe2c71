#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Membership {

// The contents of a host's lease row.
struct HostRecord {
    Core::HostId id;
    Core::ZoneId zone;
    std::string peerAddress; // "host:port" for messages between hosts.
    std::string callerAddress; // "host:port" for callers.
    std::uint64_t incarnation = 0; // A new number for each start of the host's process.
    std::uint64_t ticketSequence = 0; // The last ticket in force at the host.
    bool isLeaving = false;
    std::uint64_t renewal = 0; // Counts the renewals of this incarnation.
    std::chrono::milliseconds term {5000}; // Other hosts wait this long and a margin before they take over.

    bool operator==(const HostRecord &) const = default;
};

[[nodiscard]] std::string toText(const HostRecord &record);
// Throws nlohmann::json::exception when the text isn't a valid record.
[[nodiscard]] HostRecord hostRecordFromText(const std::string &text);

}
