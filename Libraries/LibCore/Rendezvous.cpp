#include <LibCore/Rendezvous.h>
#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Core {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::vector<std::string> rankByRendezvous(std::string_view key, std::span<const RendezvousCandidate> candidates)
{
    std::vector<std::pair<double, std::string>> scored;
    const auto keyHash = stableHash(key);
    for (const auto &[name, weight] : candidates) {
        if (weight <= 0) {
            continue;
        }
        // The upper 53 bits of the hash, mapped to a number between 0 and 1, both excluded.
        const double unit = (static_cast<double>(stableHash(name, keyHash) >> 11) + 0.5) / 9007199254740992.0;
        scored.emplace_back(weight / -std::log(unit), name);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<std::string> names;
    names.reserve(scored.size());
    for (auto &[score, name] : scored) {
        names.push_back(std::move(name));
    }
    return names;
}

}
