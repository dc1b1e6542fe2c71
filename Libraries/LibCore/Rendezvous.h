#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

// A candidate of weighted rendezvous hashing. A weight of zero or less is never chosen.
struct RendezvousCandidate {
    std::string name;
    double weight = 1.0;
};

// Orders the candidates for a key, best first. Removing a candidate moves only the keys it held.
[[nodiscard]] std::vector<std::string> rankByRendezvous(std::string_view key,
                                                        std::span<const RendezvousCandidate> candidates);

// A 64-bit hash of the text, the same on every machine.
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

}
