#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Placement {

// Whether a replica can begin with the adapter that a request needs.
enum class Residency {
    // It is in memory, or none is needed.
    Resident,
    // It has to be loaded first.
    Absent,
    // It isn't there, and nobody can have it loaded now.
    Unloadable,
};

// A replica that could serve a request, as this host sees it now.
struct Candidate {
    Core::TargetId replica;
    std::string home; // What its homes are hashed by; stays the same when the replica restarts.
    Core::ZoneId zone;
    Residency residency = Residency::Resident;
    unsigned slots = 0;
    unsigned active = 0; // Requests that run or wait there, of all hosts as far as known.
    std::uint64_t waitingTokens = 0; // Prompt tokens that wait to be read.
    Core::Duration penalty {}; // For failures of late.
    bool isBlocked = false; // Only for want of another.
};

struct ReplicaChooserOptions {
    Core::ZoneId ownZone;
    double promptTokensPerMillisecond = 20; // Reading speed of the engines that are met: 19 and 22.
    Core::Duration otherZone = std::chrono::milliseconds(3); // Round trip to another zone.
    Core::Duration load
        = std::chrono::milliseconds(60); // What a load delays, most being from the replica's own copies.
    Core::Duration furtherHome = std::chrono::milliseconds(80); // What makes a load at each further home less good.
    std::size_t furtherHomeFleet = 18; // Replicas up to which that holds; less in a larger fleet.
    Core::Duration perRank = std::chrono::microseconds(50); // Decides between replicas that are otherwise alike.
    Core::Duration perActive = std::chrono::milliseconds(1); // Added to an answer by each request that runs.
    Core::Duration perQueued = std::chrono::milliseconds(200); // And by each that is beyond the replica's places.
    Core::Duration unloadable = std::chrono::seconds(10); // Keeps replicas without the adapter behind all others.
    Core::Duration blocked = std::chrono::seconds(30); // Keeps blocked replicas last.
};

// Chooses the replica at which a request is expected to begin first. An adapter's homes are ranked alike on every host
// by rendezvous hashing; a further home comes into use as soon as those before it are busier than a load takes.
class ReplicaChooser
{
public:
    explicit ReplicaChooser(ReplicaChooserOptions options);

    // The index of the best candidate, without a value when there is none. The key is that of the adapter, or one of
    // the request's own where it needs none; the request is told from others by its id.
    [[nodiscard]] std::optional<std::size_t> choose(std::string_view key, std::string_view request,
                                                    std::span<const Candidate> candidates) const;

private:
    [[nodiscard]] Core::Duration cost(const Candidate &candidate, std::size_t rank, std::size_t fleetSize) const;
    // What is known of the other hosts' requests is a few hundred milliseconds old, so that all hosts would choose the
    // same replica until they learn of it. Of many that can begin at once, the request therefore looks at two.
    [[nodiscard]] static std::vector<bool> considered(std::string_view request, std::span<const Candidate> candidates);

    ReplicaChooserOptions m_options;
};

}
