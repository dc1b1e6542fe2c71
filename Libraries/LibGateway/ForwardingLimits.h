#pragma once

#include <chrono>

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

}
