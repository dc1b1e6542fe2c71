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
    bool spansZones = true; // Homes are chosen among the targets of every zone, rather than the own.
    // Requests a second at this front for which an adapter gets one more home; zero for never.
    double requestsPerHome = 0.05;
    Core::Duration halfLife = std::chrono::seconds(30); // Of the counted requests.
};

// Decides, at a front, which targets an adapter is homed on. Every front ranks them alike by rendezvous hashing, so
// that an adapter is loaded in one place for all zones together; one that is asked for often gets further homes.
class AdapterHomes
{
public:
    explicit AdapterHomes(AdapterHomesOptions options = {});

    // Counts a request and orders the targets to try: the adapter's homes in turn, then the own zone's, then others.
    [[nodiscard]] std::vector<Core::TargetId> rank(const Core::AdapterVersion &adapter,
                                                   std::span<const HomeCandidate> candidates,
                                                   const Core::ZoneId &ownZone, Core::TimePoint now);

private:
    AdapterHomesOptions m_options;
    Popularity m_popularity;
    std::uint64_t m_turn = 0;
};

}
