#pragma once

#include <chrono>

namespace Gateway {

// Arrivals of one request at replicas, rejected ones included.
inline constexpr unsigned MostSends = 4;
// Requests to holders for one request's adapter.
inline constexpr unsigned MostLoads = 3;
// An attempt with less time than this left isn't begun.
inline constexpr auto LeastRemaining = std::chrono::milliseconds(15);
// When a refused caller should come back: after a replica's queue has moved on.
inline constexpr auto RetryAfterCrowd = std::chrono::milliseconds(200);

}
