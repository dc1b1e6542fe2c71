#pragma once

#include <LibPolicy/Popularity.h>
#include <span>
#include <vector>

namespace Policy {

// A target that could serve a request, and its availability zone.
struct HomeCandidate {
    Core::TargetId target;
    Core::ZoneId zone;
};

struct AdapterHomesOptions {
    bool spansZones = true; // Homes are chosen among the targets of all zones instead of this zone's only.
    // An adapter gets one additional home per this many requests per second at this front; zero disables it.
    double requestsPerHome = 0.05;
    Core::Duration halfLife = std::chrono::seconds(30); // Half-life of the request counts.
};

// Chooses, at a front, an adapter's homes: the targets that its requests are sent to first. All fronts rank targets by
// the same rendezvous hash, so that an adapter is loaded on one target for all zones together. An adapter with many
// requests gets additional homes.
class AdapterHomes
{
public:
    explicit AdapterHomes(AdapterHomesOptions options = {});

    // Counts a request and returns the targets in the order to try them: the adapter's homes, rotated from request to
    // request, then the other targets in this zone, then those in other zones.
    [[nodiscard]] std::vector<Core::TargetId> rank(const Core::AdapterVersion &adapter,
                                                   std::span<const HomeCandidate> candidates,
                                                   const Core::ZoneId &ownZone, Core::TimePoint now);

private:
    AdapterHomesOptions m_options;
    Popularity m_popularity;
    std::uint64_t m_rotation = 0;
};

}
