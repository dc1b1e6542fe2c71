#pragma once

#include <LibCore/Time.h>
#include <string_view>

namespace Gateway {

// Number of times that one request is sent to replicas, including attempts that a replica rejects. A response that has
// begun is continued until its deadline.
inline constexpr unsigned MaxSends = 4;
// Number of requests to holders to load the adapter of one request.
inline constexpr unsigned MaxLoadRequests = 3;
// No attempt starts with less time than this before the deadline.
inline constexpr auto MinRemainingTime = std::chrono::milliseconds(15);
// Retry-After of a refused request: by then the queue of a replica has probably become shorter.
inline constexpr auto RetryAfterOverload = std::chrono::milliseconds(200);
// Retry-After of a refused request: by then a load has probably ended or a replica is listed again.
inline constexpr auto RetryAfterNoReplica = std::chrono::milliseconds(500);

// Why a request that wasn't sent is refused, and its Retry-After unless all replicas are paused for longer.
struct RefusalTerms {
    std::string_view reason;
    Core::Duration retryAfter {};
};

inline constexpr RefusalTerms TooLittleTime {"too little time is left before the deadline", RetryAfterOverload};
// The refusal lasts for minutes.
inline constexpr RefusalTerms CrashesReplicas {"the request or a part of its prompt crashes replicas",
                                               std::chrono::seconds(60)};
inline constexpr RefusalTerms NoReplicaAvailable {"no replica is available", RetryAfterNoReplica};

}
