#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>

namespace Placement {

struct UsualResponseTimeOptions {
    double weight = 0.05; // Of one response.
    unsigned minResponses = 10; // Before a usual time is known.
    double lateFactor = 2.5; // A response is late if it takes more than this multiple of the usual time.
    // A response is never late by less than this, which a busy host adds on its own.
    Core::Duration minLateness = std::chrono::milliseconds(20);
};

// The usual time until the responses of a kind of replica start or are complete, by the length of the prompt. Prompts
// whose lengths have the same power of two count as equal.
class UsualResponseTime
{
public:
    explicit UsualResponseTime(UsualResponseTimeOptions options = {});

    // Records a response of a replica that isn't limited.
    void record(std::uint64_t promptTokens, Core::Duration time);
    // Empty if too few responses to prompts of about this length are known.
    [[nodiscard]] std::optional<Core::Duration> usual(std::uint64_t promptTokens) const;
    // Whether the response is late. Empty if that isn't known.
    [[nodiscard]] std::optional<bool> isLate(std::uint64_t promptTokens, Core::Duration time) const;

private:
    struct Estimate {
        double logarithm = 0; // Mean of the logarithms of the seconds.
        unsigned responses = 0; // At most the minimum that makes it known.
    };

    UsualResponseTimeOptions m_options;
    std::map<int, Estimate> m_estimates; // By the number of bits of the prompt's length.
};

}
