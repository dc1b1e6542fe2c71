#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <vector>

namespace Routing {

struct TargetAvoidanceOptions {
    Core::Duration firstPeriod = std::chrono::milliseconds(1000); // Doubles with each further failure.
    Core::Duration longestPeriod = std::chrono::seconds(30);
};

// The targets that failed lately and are avoided for a while, as far as others can serve. A failure is evidence
// of this host alone; a success ends the avoidance at once.
class TargetAvoidance
{
public:
    explicit TargetAvoidance(TargetAvoidanceOptions options);

    void recordFailure(const Core::TargetId &target, Core::TimePoint now);
    void recordSuccess(const Core::TargetId &target);
    // The targets avoided now, by name.
    [[nodiscard]] std::vector<Core::TargetId> avoided(Core::TimePoint now);

private:
    struct Record {
        std::uint32_t failures = 0;
        Core::TimePoint until {};
    };

    TargetAvoidanceOptions m_options;
    std::map<Core::TargetId, Record> m_records;
};

}
