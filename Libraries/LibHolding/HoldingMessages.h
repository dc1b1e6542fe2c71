#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Holding {

// Asks the holder of a replica to load an adapter. The reply is sent when the adapter is in memory or can't be loaded.
struct AdapterRequest {
    static constexpr auto Kind = Peer::MessageKind::AdapterRequest;

    Core::TargetId replica;
    std::string model;
    std::string adapter;
    std::uint64_t version = 0; // Minimum version; zero for any.
    bool isReportedMissing = false; // The replica has just reported the adapter as missing.
    std::int32_t priority = 0; // 0 is the most urgent.
    bool isLastTry = false; // No other replica will be tried, so that it is worth waiting for a slot.

    MSGPACK_DEFINE(replica, model, adapter, version, isReportedMissing, priority, isLastTry)
};

enum class AdapterOutcome : std::uint8_t {
    // The adapter is in the memory of the replica.
    Ready = 0,
    // The adapter can't be provided: no free slot, the receiver may not send orders, or the load failed.
    Unavailable = 1,
    // The adapter is still being loaded. Another request to the same holder goes on waiting for it.
    Loading = 2,
};

struct AdapterReply {
    std::uint8_t outcome = 0; // An AdapterOutcome.
    std::uint64_t version = 0; // Of the loaded adapter.
    std::uint32_t delayMilliseconds = 0; // Expected time until the adapter that is being loaded is in memory.

    MSGPACK_DEFINE(outcome, version, delayMilliseconds)
};

// What hosts have seen within the last second of a replica that has returned, for Placement::ReturnPace. All numbers
// are zero for other replicas.
struct ReturnSigns {
    std::uint32_t usual = 0; // Responses in the usual time.
    std::uint32_t late = 0; // Late and failed responses.
    std::uint32_t wanted = 0; // Requests that were sent to it, or would have been without its limit.

    bool operator==(const ReturnSigns &) const = default;
    MSGPACK_DEFINE(usual, late, wanted)
};

// The requests of one host that run on one replica.
struct ReplicaUse {
    Core::TargetId replica;
    std::uint32_t active = 0; // Requests sent but not completed.
    std::uint64_t waitingTokens = 0; // Prompt tokens of the requests without a response so far.
    std::vector<std::string> adapters; // As "model/adapter", used by requests at any time since the last notice.
    std::uint32_t recentlySent = 0; // Requests within the last seconds, the window of request limits.
    bool isLimited = false; // The host knows that the replica has a request limit.
    std::uint64_t usedTokens = 0; // Prompts and expected outputs of the active requests.
    // Measured since the last notice: microseconds between two events of a stream, and to the first event for each
    // thousand prompt tokens. Without samples, they have no meaning.
    std::uint32_t eventMicroseconds = 0;
    std::uint32_t eventSamples = 0;
    std::uint32_t prefillMicroseconds = 0;
    std::uint32_t prefillSamples = 0;
    ReturnSigns returnSigns;

    // New members are added at the end, where hosts of an earlier version ignore them.
    MSGPACK_DEFINE(replica, active, waitingTokens, adapters, recentlySent, isLimited, usedTokens, eventMicroseconds,
                   eventSamples, prefillMicroseconds, prefillSamples, returnSigns)
};

// Sent by a host to the holders of the replicas that it uses, for as long as it uses them.
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

// The load of a replica as known to its holder.
struct ReplicaLoad {
    Core::TargetId replica;
    std::uint32_t active = 0; // Requests from all hosts, including the receiver.
    std::uint64_t waitingTokens = 0; // Prompt tokens of the requests without a response so far.
    std::uint32_t loadDelayMilliseconds = 0; // Time until the load of another adapter could start.
    std::uint32_t recentlySent = 0; // Requests within the last seconds, from all hosts.
    std::uint32_t limitedSenders = 0; // Hosts that have sent such and know that the replica has a request limit.
    std::uint64_t usedTokens = 0; // Prompts and expected outputs of the active requests.
    // What the holder has learned from all hosts, as in ReplicaUse. The samples are those that still count.
    std::uint32_t eventMicroseconds = 0;
    std::uint32_t eventSamples = 0;
    std::uint32_t prefillMicroseconds = 0;
    std::uint32_t prefillSamples = 0;
    ReturnSigns returnSigns; // Sum over all hosts, including the receiver.

    // New members are added at the end, where hosts of an earlier version ignore them.
    MSGPACK_DEFINE(replica, active, waitingTokens, loadDelayMilliseconds, recentlySent, limitedSenders, usedTokens,
                   eventMicroseconds, eventSamples, prefillMicroseconds, prefillSamples, returnSigns)
};

// The load of a replica and the adapters in its memory, or those that have changed since the last notice.
struct ReplicaNotice {
    ReplicaLoad load;
    std::vector<ResidentAdapter> adapters; // All adapters if isComplete, otherwise new ones and new versions.
    std::uint64_t number = 0; // Increases by one with each change of the adapters.
    bool isComplete = true;
    std::vector<std::string> removed; // Adapters that are no longer in memory, as "model/adapter".

    MSGPACK_DEFINE(load, adapters, number, isComplete, removed)
};

// Sent by a holder to the hosts that use its replicas.
struct LoadNotice {
    static constexpr auto Kind = Peer::MessageKind::LoadNotice;

    std::vector<ReplicaNotice> replicas;

    MSGPACK_DEFINE(replicas)
};

}
