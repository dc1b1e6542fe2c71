#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <optional>
#include <span>
#include <string>
#include <string_view>
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
    Core::Duration loadDelay {}; // Until a load would begin there.
    Core::Duration penalty {}; // For failures of late.
    bool isBlocked = false; // Only for want of another.
};

// What a replica is wanted for.
struct Wanted {
    std::string_view key; // Of the adapter, or one of the request's own where it needs none.
    std::string_view request; // Tells the request from others.
    double demand = 0; // Estimated requests a second for the adapter, over all hosts.
    bool isStream = true; // Its answer takes seconds.
};

struct ReplicaChooserOptions {
    Core::ZoneId ownZone;
    double promptTokensPerMillisecond = 20; // Reading speed of the engines that are met: 19 and 22.
    Core::Duration otherZone = std::chrono::milliseconds(3); // Round trip to another zone.
    // What a stream from another zone costs: the bytes, and that a cut between the zones ends it.
    Core::Duration otherZoneStream = std::chrono::milliseconds(25);
    Core::Duration load
        = std::chrono::milliseconds(60); // What a load delays, most being from the replica's own copies.
    Core::Duration furtherHome = std::chrono::milliseconds(8); // What makes a load at each further home less good.
    // What a copy beside the first costs while nothing shows that it will be used: about a load from the weight store.
    Core::Duration furtherCopy = std::chrono::milliseconds(250);
    // Requests a second for one adapter at which a further copy costs half as much: a fifth of what a replica reads.
    double furtherCopyDemand = 4;
    Core::Duration perRank = std::chrono::microseconds(50); // Decides between replicas that are otherwise alike.
    Core::Duration perActive = std::chrono::milliseconds(1); // Added to an answer by each request that runs.
    Core::Duration perQueued = std::chrono::milliseconds(200); // And by each that is beyond the replica's places.
    Core::Duration unloadable = std::chrono::seconds(10); // Keeps replicas without the adapter behind all others.
    Core::Duration blocked = std::chrono::seconds(30); // Keeps blocked replicas last.
};

// Chooses the replica at which a request is expected to begin first. An adapter's homes are ranked alike on every host
// by rendezvous hashing, so that one that is asked for again and again is loaded from its home's own copies. A further
// home comes into use when those before it are busier than a load takes, for a popular adapter sooner.
class ReplicaChooser
{
public:
    explicit ReplicaChooser(ReplicaChooserOptions options);

    // The index of the best candidate, without a value when there is none.
    [[nodiscard]] std::optional<std::size_t> choose(const Wanted &wanted, std::span<const Candidate> candidates) const;

private:
    // What a copy beside the first one costs, apart from the time that loading it takes.
    [[nodiscard]] Core::Duration furtherCopyCost(double demand) const;
    [[nodiscard]] Core::Duration cost(const Wanted &wanted, const Candidate &candidate, std::size_t rank,
                                      Core::Duration copyCost) const;
    // What is known of the other hosts' requests is a few hundred milliseconds old, so that all hosts would choose the
    // same replica until they learn of it. Of many that can begin at once, the request therefore looks at two, one of
    // them of the own zone if there is one.
    [[nodiscard]] std::vector<bool> considered(std::string_view request, std::span<const Candidate> candidates) const;

    ReplicaChooserOptions m_options;
};

}
