#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Holding {

// Asks the holder of a replica to have an adapter in its memory. The reply comes when it is there.
struct AdapterRequest {
    static constexpr auto Kind = Peer::MessageKind::AdapterRequest;

    Core::TargetId replica;
    std::string model;
    std::string adapter;
    std::uint64_t version = 0; // The least that will do; zero for any.
    bool isReportedMissing = false; // The replica has just said that it doesn't have the adapter.
    std::int32_t priority = 0; // 0 is the most urgent.
    bool isLastTry = false; // No other replica will be asked, so that it is worth waiting for a place.

    MSGPACK_DEFINE(replica, model, adapter, version, isReportedMissing, priority, isLastTry)
};

enum class AdapterOutcome : std::uint8_t {
    // The adapter is in the replica's memory.
    Ready = 0,
    // It can't be had there now: no room, no right to give orders, or a failed load.
    Unavailable = 1,
};

struct AdapterReply {
    std::uint8_t outcome = 0; // An AdapterOutcome.
    std::uint64_t version = 0; // Of the adapter that is there.

    MSGPACK_DEFINE(outcome, version)
};

// What one host has running on one replica.
struct ReplicaUse {
    Core::TargetId replica;
    std::uint32_t active = 0; // Requests sent and not ended.
    std::uint64_t waitingTokens = 0; // Prompt tokens of those that haven't answered yet.
    std::vector<std::string> adapters; // "model/adapter" of those that run or ran since the last notice.

    MSGPACK_DEFINE(replica, active, waitingTokens, adapters)
};

// A host's use of the replicas that the receiver holds, sent while there is any.
struct UseNotice {
    static constexpr auto Kind = Peer::MessageKind::UseNotice;

    std::vector<ReplicaUse> uses;

    MSGPACK_DEFINE(uses)
};

struct ResidentAdapter {
    std::string adapter; // "model/adapter".
    std::uint64_t version = 0;

    MSGPACK_DEFINE(adapter, version)
};

// How busy a replica is, as its holder knows it.
struct ReplicaLoad {
    Core::TargetId replica;
    std::uint32_t active = 0; // Requests of all hosts, the receiver included.
    std::uint64_t waitingTokens = 0; // Prompt tokens of those that haven't been answered yet.
    std::uint32_t loadDelayMilliseconds = 0; // Until the load of one more adapter would begin.

    MSGPACK_DEFINE(replica, active, waitingTokens, loadDelayMilliseconds)
};

// The same with what the replica has in memory.
struct ReplicaNotice {
    ReplicaLoad load;
    std::vector<ResidentAdapter> adapters;

    MSGPACK_DEFINE(load, adapters)
};

// Sent to the hosts that use the sender's replicas.
struct LoadNotice {
    static constexpr auto Kind = Peer::MessageKind::LoadNotice;

    std::vector<ReplicaNotice> replicas;

    MSGPACK_DEFINE(replicas)
};

}
