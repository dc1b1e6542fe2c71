#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Host {

// Asks a peer for what it knows. The answer goes to the address in the sender's record, since the peer may not
// know it yet.
struct SnapshotRequest {
    static constexpr auto Kind = Peer::MessageKind::SnapshotRequest;

    std::string sender; // A HostRecord's text.
    std::uint64_t sequence = 0; // In force at the sender.
    bool isComplete = false; // The sender serves already; it only wants newer tickets.

    MSGPACK_DEFINE(sender, sequence, isComplete)
};

// Who owns a target, as the answering host knows it.
struct OwnerEntry {
    Core::TargetId target;
    Core::HostId owner;
    std::uint64_t fence = 0;

    MSGPACK_DEFINE(target, owner, fence)
};

// What a peer knows: the tickets in force there, and the hosts and targets of the asking host's zone.
struct SnapshotReply {
    static constexpr auto Kind = Peer::MessageKind::SnapshotReply;

    std::string tickets; // A packed Ticket::TicketSnapshot.
    std::uint64_t ticketsHash = 0;
    std::vector<std::string> hosts; // HostRecords' texts.
    std::vector<std::string> machines; // ListedMachines' JSON.
    std::vector<OwnerEntry> owners;

    MSGPACK_DEFINE(tickets, ticketsHash, hosts, machines, owners)
};

}
