#pragma once

#include <cstdint>

namespace Peer {

// The message types between the processes of the system. Numbers are part of the wire format and are never reused.
enum class MessageKind : std::uint16_t {
    Reply = 1,
    // LibMembership, 10 to 19.
    Ping = 10,
    Handover = 11,
    // LibOwner, 20 to 39.
    GrantRequest = 20,
    GrantRelease = 21,
    GrantQuery = 22,
    GrantConfirmation = 23,
    PermitRequest = 25,
    // LibTicket, 40 to 49.
    TicketHint = 40,
    SnapshotRequest = 41,
    SnapshotReply = 42,
    TargetNotice = 45,
    // LibLedger, 50 to 59.
    ClaimQuery = 50,
    // LibRouting, 60 to 69.
    QuarantineNotice = 60,
    OwnerProbe = 61,
    // LibHolding, 70 to 79.
    AdapterRequest = 70,
    UseNotice = 71,
    LoadNotice = 72,
    // LibRelay, 80 to 89.
    ReaderHeartbeat = 80,
    RowsNotice = 81,
    WriteRequest = 82,
    LoadPost = 84,
    LoadDigest = 85,
    // LibAccounts, 90 to 99.
    AllowanceRequest = 90,
};

}
