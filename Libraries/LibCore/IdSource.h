#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace Core {

// Makes identifiers that no other process makes: a random part drawn once, and a counter.
class IdSource
{
public:
    // Seeds the random part. Tests give a fixed seed, daemons std::random_device's word.
    explicit IdSource(std::uint64_t seed);

    // The next identifier, for example "attempt-5f3a9c0d1e2b4a67-12".
    [[nodiscard]] std::string next(std::string_view kind);
    // A random number from the whole 64-bit range.
    [[nodiscard]] std::uint64_t randomNumber();

private:
    std::mt19937_64 m_random;
    std::string m_prefix;
    std::uint64_t m_counter = 0;
};

}
