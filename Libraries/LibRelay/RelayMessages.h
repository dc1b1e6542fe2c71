#pragma once

#include <LibHolding/HoldingMessages.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Relay {

// Sent regularly by the host that reads the store for its zone.
struct ReaderHeartbeat {
    static constexpr auto Kind = Peer::MessageKind::ReaderHeartbeat;

    bool isHealthy = false; // The table store responds to the sender.

    MSGPACK_DEFINE(isHealthy)
};

struct RelayedRow {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool isRemoved = false;

    MSGPACK_DEFINE(key, version, value, isRemoved)
};

// The changes of a table after one version up to and including another, as the reader received them from the store.
struct RowsNotice {
    static constexpr auto Kind = Peer::MessageKind::RowsNotice;

    std::string table;
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    std::vector<RelayedRow> rows;
    // Time on the service's clock by which all acknowledged changes are included; zero if it isn't known.
    std::uint64_t provenAtMilliseconds = 0;

    MSGPACK_DEFINE(table, after, version, rows, provenAtMilliseconds)
};

// Asks the reader to write a row in a transaction shared with the rows of other hosts.
struct WriteRequest {
    static constexpr auto Kind = Peer::MessageKind::WriteRequest;

    std::string table;
    std::string key;
    std::string value;

    MSGPACK_DEFINE(table, key, value)
};

struct WriteReply {
    bool isWritten = false;

    MSGPACK_DEFINE(isWritten)
};

// The loads of the replicas that the sender holds, sent to the reader of its zone.
struct LoadPost {
    static constexpr auto Kind = Peer::MessageKind::LoadPost;

    std::vector<Holding::ReplicaLoad> loads;

    MSGPACK_DEFINE(loads)
};

// Sent by a reader: all known loads to the hosts of its own zone, and the loads of its own zone to the readers of other
// zones.
struct LoadDigest {
    static constexpr auto Kind = Peer::MessageKind::LoadDigest;

    // The sender is the reader of another zone; the receiver forwards the loads in its zone.
    bool isFromOtherZone = false;
    std::vector<Holding::ReplicaLoad> loads;

    MSGPACK_DEFINE(isFromOtherZone, loads)
};

}
