#pragma once

#include <LibHolding/HoldingMessages.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Relay {

// Sent regularly by the host that reads the store for its zone.
struct ReaderBeat {
    static constexpr auto Kind = Peer::MessageKind::ReaderHeartbeat;

    bool isHealthy = false; // The store answers it.

    MSGPACK_DEFINE(isHealthy)
};

struct RelayedRow {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool isRemoved = false;

    MSGPACK_DEFINE(key, version, value, isRemoved)
};

// The changes of a table after one version and up to another, as the reader has them from the store.
struct RowsNotice {
    static constexpr auto Kind = Peer::MessageKind::RowsNotice;

    std::string table;
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    std::vector<RelayedRow> rows;

    MSGPACK_DEFINE(table, after, version, rows)
};

// Asks the reader to write the sender's row together with others.
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

// A holder's replicas, sent to the reader of its zone.
struct LoadPost {
    static constexpr auto Kind = Peer::MessageKind::LoadPost;

    std::vector<Holding::ReplicaLoad> loads;

    MSGPACK_DEFINE(loads)
};

// What a reader passes on: to its own zone all that it knows, to readers of other zones what is its own zone's.
struct LoadDigest {
    static constexpr auto Kind = Peer::MessageKind::LoadDigest;

    bool isOfOtherZone = false; // It comes from another zone's reader and is to be passed on.
    std::vector<Holding::ReplicaLoad> loads;

    MSGPACK_DEFINE(isOfOtherZone, loads)
};

}
