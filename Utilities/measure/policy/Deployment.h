#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Measure {

// What a deployment file says: one user's engines, weight store and callers.
struct Deployment {
    std::string name;
    std::string weighting; // The policy version that the deployment runs.
    std::string trace; // The trace that is measured unless another is asked for.
    std::uint32_t zones = 0;
    std::uint32_t hostsPerZone = 0;
    std::uint32_t targetsPerZone = 0;
    std::uint32_t slotsPerTarget = 0;
    std::uint32_t batchCapacity = 0;
    std::uint32_t adapters = 0;
    double zipfExponent = 0;
    std::uint32_t customers = 0;
    double requestsPerSecond = 0; // Over all zones.
    std::uint32_t leastTokens = 0;
    std::uint32_t mostTokens = 0;
    Core::Duration tokenTime {}; // Between two tokens of one request, in a batch of any size.
    Core::Duration patience {}; // From a request's arrival to its deadline.
    double loadsPerSecond = 0; // What the weight store allows, over all zones.
    Core::Duration loadTime {};
    std::uint32_t loadsAtFullSpeed = 0; // More loads in flight make each take proportionally longer.
    Core::Duration warmUp {}; // Measured on neither side.
    Core::Duration measured {};
    double surgeFactor = 0; // Arrivals of a deadline surge over the usual ones.
};

// Throws Settings::InvalidSettings or Core::StepError.
[[nodiscard]] Deployment loadDeployment(const std::string &path);

}
