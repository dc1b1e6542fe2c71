#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Host {

// Requests a snapshot from a peer. The reply goes to the address in the sender's record, because the peer may not know
// the sender yet.
struct SnapshotRequest {
    static constexpr auto Kind = Peer::MessageKind::SnapshotRequest;

    std::string sender; // The sender's HostRecord as text.
    std::uint64_t sequence = 0; // The ticket sequence in force at the sender.
    bool isComplete = false; // The sender can already serve and only needs newer tickets.

    MSGPACK_DEFINE(sender, sequence, isComplete)
};

// The owner of a target, as known by the replying host.
struct OwnerEntry {
    Core::TargetId target;
    Core::HostId owner;
    std::uint64_t fence = 0;

    MSGPACK_DEFINE(target, owner, fence)
};

// The tickets in force at the replying host, and the hosts and targets that it knows in the requesting host's zone.
struct SnapshotReply {
    static constexpr auto Kind = Peer::MessageKind::SnapshotReply;

    std::string tickets; // A packed Ticket::TicketSnapshot.
    std::uint64_t ticketsHash = 0;
    std::vector<std::string> hosts; // HostRecords as text.
    std::vector<std::string> machines; // ListedMachines as JSON.
    std::vector<OwnerEntry> owners;

    MSGPACK_DEFINE(tickets, ticketsHash, hosts, machines, owners)
};

}
