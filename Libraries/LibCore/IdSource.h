#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace Core {

// Generates identifiers that are unique across processes: a random prefix drawn once, and a counter.
class IdSource
{
public:
    // Seeds the random generator. Tests pass a fixed seed, daemons a value from std::random_device.
    explicit IdSource(std::uint64_t seed);

    // Generates an identifier, for example "attempt-5f3a9c0d1e2b4a67-12".
    [[nodiscard]] std::string next(std::string_view kind);
    // Draws a random number from the full 64-bit range.
    [[nodiscard]] std::uint64_t randomNumber();

private:
    std::mt19937_64 m_random;
    std::string m_prefix;
    std::uint64_t m_counter = 0;
};

}
