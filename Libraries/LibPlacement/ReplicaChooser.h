#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Placement {

// Whether the adapter that a request needs is in the memory of a replica.
enum class Residency {
    // It is in memory, or the request needs no adapter.
    Resident,
    // It has to be loaded before the request can run.
    Absent,
    // It isn't in memory and can't be loaded at present.
    Unloadable,
};

// A replica that could serve a request, with its state as known to this host.
struct Candidate {
    Core::TargetId replica;
    std::string home; // Input of the rendezvous hash; stays the same when the replica restarts.
    Core::ZoneId zone;
    Residency residency = Residency::Resident;
    bool isCached = false; // The adapter isn't in memory, but has been recently, so that it loads without the store.
    unsigned slots = 0;
    unsigned active = 0; // Requests that run or wait at the replica, from all hosts as far as known.
    double usedLimit = 0; // The part of the replica's request limit that is used; zero without a limit.
    std::uint64_t waitingTokens = 0; // Prompt tokens of requests that wait for prefill.
    Core::Duration loadDelay {}; // Time until a load could start.
    Core::Duration penalty {}; // For recent failures.
    bool isBlocked = false; // To be chosen only if there is no other replica.
    double speed = 1; // Compared to the other replicas of the service; 1 is usual.
    Core::Duration usualResponse {}; // Usual response time of the service, if it runs no models.
    std::uint64_t usedTokens = 0; // Prompts and expected outputs of the running requests, from all hosts.
    std::uint64_t memoryTokens = 0; // Capacity for such tokens; zero if it isn't known.
    Core::Duration eventTime {}; // Time between two events of a stream there, without a prompt between them.
};

// A request for which a replica is to be chosen.
struct PlacementRequest {
    std::string_view key; // Name of the adapter, or a key unique to the request if it needs none.
    std::string_view request; // Unique identifier of the request.
    double demand = 0; // Estimated requests per second for the adapter, over all hosts.
    bool isStream = true; // The response is streamed, which takes seconds.
    std::uint64_t promptTokens = 0;
    std::uint64_t totalTokens = 0; // The prompt and the expected output.
    // Longest pause between the events of a stream that is on time. Zero if the pauses of running streams don't matter
    // for the choice, because there is no limit or because all replicas work at one speed.
    Core::Duration pauseLimit {};
};

// The expected delay of the response at one replica, by cause. The replica with the lowest sum is chosen.
struct ReplicaCost {
    Core::Duration work {}; // The requests that run there and the prompts that wait there.
    Core::Duration slowness {}; // The request itself, compared to a replica of the usual speed; negative at a fast one.
    Core::Duration failures {};
    Core::Duration rank {}; // Breaks ties.
    Core::Duration zone {};
    Core::Duration queue {}; // For a free slot or free memory.
    // Grows from half of the slots, memory or limit on, with a part that differs by request.
    Core::Duration crowding {};
    Core::Duration pause {}; // That the prompt causes in the streams that run there.
    Core::Duration load {}; // Of the adapter, with what an additional copy and an additional home cost.
    Core::Duration unloadable {};
    Core::Duration blocked {};

    [[nodiscard]] Core::Duration total() const
    {
        return work + slowness + failures + rank + zone + queue + crowding + pause + load + unloadable + blocked;
    }
};

// What a choice made of one candidate.
struct CandidateCost {
    bool isCompared = false; // Only some of many replicas that are ready are compared.
    std::size_t rank = 0; // Among the homes of the adapter; zero is the first home.
    ReplicaCost cost; // Also of a candidate that wasn't compared.
};

// Costs are expected delays of the response; the replica with the lowest sum is chosen.
struct ReplicaChooserOptions {
    Core::ZoneId ownZone;
    double promptTokensPerMillisecond = 20; // Prefill speed; the two kinds of engine in use reach 19 and 22.
    Core::Duration crossZoneCost = std::chrono::milliseconds(3); // Round trip to another zone.
    // A stream from another zone transfers its bytes between zones and is lost in a partition between them.
    Core::Duration crossZoneStreamCost = std::chrono::milliseconds(25);
    // Delay by a load, most loads being from the cache of the replica.
    Core::Duration loadCost = std::chrono::milliseconds(60);
    // Delay by a load from the cache of the replica, and by what it does to the adapter that makes room.
    Core::Duration cachedLoadCost = std::chrono::milliseconds(60);
    Core::Duration additionalHomeCost = std::chrono::milliseconds(8); // Added for a load at each additional home.
    // Cost of an additional copy of an adapter without known demand; about the time of a load from the weight store.
    Core::Duration additionalCopyCost = std::chrono::milliseconds(250);
    // Requests per second for one adapter at which an additional copy costs half as much: a fifth of the prompts that a
    // replica can process.
    double additionalCopyDemand = 4;
    Core::Duration costPerRank = std::chrono::microseconds(50); // Breaks ties between replicas of equal cost.
    Core::Duration costPerActive = std::chrono::milliseconds(1); // Delay of a response by each running request.
    // Cost of a replica all of whose slots or memory, or whose whole request limit, are in use; from half of them on,
    // each request adds an equal part. A replica that fills up before its load is known everywhere interrupts its less
    // urgent requests.
    Core::Duration fullCost = std::chrono::milliseconds(160);
    // Hosts that know the same loads, which are some hundred milliseconds old, choose differently within this span, of
    // which a replica gets the share of its slots that is in use.
    Core::Duration spread = std::chrono::milliseconds(48);
    Core::Duration costPerQueued = std::chrono::milliseconds(200); // Delay by each request in excess of the slots.
    // Cost of each running stream that a prompt makes pause for longer than the limit: about a latency objective, as
    // the whole stream then counts as late.
    Core::Duration latePauseCost = std::chrono::milliseconds(500);
    // Up to this part of the limit a pause costs nothing: it stays within the limit if the replica turns two and a half
    // times slower for a moment, as stalling servers do.
    double safePausePart = 0.4;
    Core::Duration unloadableCost = std::chrono::seconds(10); // Ranks unloadable replicas behind all others.
    Core::Duration blockedCost = std::chrono::seconds(30); // Ranks blocked replicas last.
};

// Chooses the replica at which a request is expected to start first. The homes of an adapter are the replicas in the
// order of a rendezvous hash, which is the same on every host. An adapter is therefore loaded repeatedly at the same
// home, where it is cached. An additional home is used when the homes before it would delay the request by more than a
// load takes, and earlier for a popular adapter.
class ReplicaChooser
{
public:
    explicit ReplicaChooser(ReplicaChooserOptions options);

    // The index of the candidate with the lowest cost, or no value if there are no candidates.
    [[nodiscard]] std::optional<std::size_t> choose(const PlacementRequest &placement,
                                                    std::span<const Candidate> candidates) const;
    // What choose() compares, for each candidate.
    [[nodiscard]] std::vector<CandidateCost> explain(const PlacementRequest &placement,
                                                     std::span<const Candidate> candidates) const;

private:
    // What the candidates of one request have in common.
    struct Comparison {
        std::vector<std::size_t> ranks;
        std::vector<bool> isSampled;
        Core::Duration copyCost {};
        bool hasCopy = false; // The adapter is in the memory of a replica that isn't blocked.
    };

    [[nodiscard]] Comparison compare(const PlacementRequest &placement, std::span<const Candidate> candidates) const;
    // The position of each candidate among the homes of the key.
    [[nodiscard]] static std::vector<std::size_t> ranksOf(std::string_view key, std::span<const Candidate> candidates);
    [[nodiscard]] ReplicaCost costOf(const PlacementRequest &placement, std::span<const Candidate> candidates,
                                     const Comparison &comparison, std::size_t index) const;
    // Cost of an additional copy of the adapter, not counting its load time.
    [[nodiscard]] Core::Duration additionalCopyCost(double demand) const;
    [[nodiscard]] ReplicaCost cost(const PlacementRequest &placement, const Candidate &candidate, std::size_t rank,
                                   Core::Duration copyCost) const;
    // How much longer than at a replica of the usual speed the request itself takes until its response; negative at a
    // fast replica.
    [[nodiscard]] Core::Duration slownessCost(const PlacementRequest &placement, const Candidate &candidate) const;
    // Cost of the pause that the prompt causes in the streams that run on the replica. An engine processes prompts
    // between the events of its streams, so that a slow one with a few waiting prompts makes all of its streams late.
    [[nodiscard]] Core::Duration pauseCost(const PlacementRequest &placement, const Candidate &candidate) const;
    // Cost of adding a request to those that run on the replica, with a part that differs by request.
    [[nodiscard]] Core::Duration crowdingCost(const PlacementRequest &placement, const Candidate &candidate) const;
    // Which candidates are compared. The load caused by other hosts is known with a delay of a few hundred
    // milliseconds, during which all hosts would choose the same replica. If many replicas can start the request
    // immediately, only two of them are therefore compared, at least one of which is in the own zone if that has any.
    [[nodiscard]] std::vector<bool> sampledReplicas(std::string_view request,
                                                    std::span<const Candidate> candidates) const;

    ReplicaChooserOptions m_options;
};

}
