#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Membership {

// What a host says of itself in its lease row.
struct HostRecord {
    Core::HostId id;
    Core::ZoneId zone;
    std::string peerAddress; // "host:port" for the system's own messages.
    std::string callerAddress; // "host:port" for callers.
    std::uint64_t incarnation = 0; // Drawn anew at every start.
    std::uint64_t ticketSequence = 0; // The last ticket in force at that host.
    bool isLeaving = false;
    std::uint64_t renewal = 0; // Counts the renewals of this incarnation.
    std::chrono::milliseconds term {5000}; // Others wait this long, and a margin, before they take over.

    bool operator==(const HostRecord &) const = default;
};

[[nodiscard]] std::string toText(const HostRecord &record);
// Throws nlohmann::json::exception when the text isn't a record.
[[nodiscard]] HostRecord hostRecordFromText(const std::string &text);

}
