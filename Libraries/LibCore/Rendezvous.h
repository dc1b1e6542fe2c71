#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

// A candidate for weighted rendezvous hashing. A candidate with a weight of zero or less is never ranked.
struct RendezvousCandidate {
    std::string name;
    double weight = 1.0;
};

// Ranks the candidates for a key, best first. Removing a candidate moves only the keys for which it was the best.
[[nodiscard]] std::vector<std::string> rankByRendezvous(std::string_view key,
                                                        std::span<const RendezvousCandidate> candidates);

// Returns a 64-bit hash of the text that is the same on every machine and in every run.
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

}
