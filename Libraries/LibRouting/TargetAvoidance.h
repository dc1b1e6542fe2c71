#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <vector>

namespace Routing {

struct TargetAvoidanceOptions {
    Core::Duration initialPeriod = std::chrono::milliseconds(1000); // Doubles with each further failure.
    Core::Duration maxPeriod = std::chrono::seconds(30);
};

// Targets that recently failed requests of this host. They are avoided with exponential backoff as long as other
// targets can serve. Failures are not shared with other hosts; a success ends the avoidance at once.
class TargetAvoidance
{
public:
    explicit TargetAvoidance(TargetAvoidanceOptions options);

    void recordFailure(const Core::TargetId &target, Core::TimePoint now);
    void recordSuccess(const Core::TargetId &target);
    // Returns the targets to avoid at present, sorted by name.
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
