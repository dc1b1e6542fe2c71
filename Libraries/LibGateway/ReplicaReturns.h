#pragma once

#include <LibFleet/Replica.h>
#include <LibHolding/HoldingMessages.h>
#include <LibMetrics/Registry.h>
#include <LibPlacement/ReturnPace.h>
#include <LibPlacement/UsualResponseTime.h>
#include <map>
#include <string>
#include <string_view>

namespace Gateway {

// A response of a replica, as a sign of how well it bears its load.
struct ReturnSample {
    std::uint64_t promptTokens = 0;
    Core::TimePoint sentAt {};
    bool isAfterLoad = false; // The adapter was loaded for the request.
};

// The load of a replica and the hosts that share it.
struct SharedLoad {
    Placement::ReturnLoad load;
    Placement::LimitSharing sharing;
};

// Recognises the replicas that have returned, and keeps the limit of each until it serves as usual. A replica counts as
// returned only if another one of its service has been listed for some time, and its limit ends when there is none. At
// the start of a deployment or of this host, nothing better is known of the others.
class ReplicaReturns
{
public:
    // Applies the list's entries after a change.
    void refresh(const std::map<Core::TargetId, Fleet::Replica> &replicas, Core::TimePoint now);
    // Records the limits that have ended by the passing of time. To be called periodically.
    void settleAll(Core::TimePoint now);
    // Records that this host avoids the replica for a while. It counts as returned from then on.
    void recordAvoided(const Fleet::Replica &replica, Core::TimePoint now);
    // Records the start of a stream, or a complete response.
    void recordResponse(const Fleet::Replica &replica, const ReturnSample &sample, const SharedLoad &shared,
                        Core::TimePoint now);
    void recordFailure(const Fleet::Replica &replica, const SharedLoad &shared, Core::TimePoint sentAt,
                       Core::TimePoint now);
    // Records the load after the holder of the replica has told it.
    void recordLoad(const Core::TargetId &replica, const SharedLoad &shared, Core::TimePoint now);
    // Records that this host has a request for the replica.
    void recordDemand(const Core::TargetId &replica, Core::TimePoint now);
    void recordSend(const Core::TargetId &replica, Core::TimePoint now);
    // Records that a request went elsewhere because of a limit.
    void recordDiversion();

    // Whether the replica has returned and isn't known to serve as usual so far.
    [[nodiscard]] bool isReturning(const Core::TargetId &replica, Core::TimePoint now) const;
    // What this host has seen of the replica; all zero without a limit.
    [[nodiscard]] Holding::ReturnSigns signs(const Core::TargetId &replica, Core::TimePoint now) const;
    [[nodiscard]] bool hasRoom(const Core::TargetId &replica, const SharedLoad &shared, Core::TimePoint now) const;
    // The part of the replica's limit that is in use; zero without a limit.
    [[nodiscard]] double usedShare(const Core::TargetId &replica, const SharedLoad &shared, Core::TimePoint now) const;
    // The usual response time of the service to requests without a prompt; zero if it isn't known.
    [[nodiscard]] Core::Duration usualTime(const std::string &service) const;
    // Registers the gauges of these limits. This object must outlive the registry's exports.
    void registerMetrics(Metrics::Registry &metrics) const;

private:
    // A listed replica.
    struct Listed {
        std::string service;
        std::string address;
        std::uint64_t startedAt = 0;
        bool isDraining = false;
        Core::TimePoint since {}; // When this host first saw the incarnation.
        bool hasServed = false; // It has responded since the limit began.
        bool isLimited = false; // The begin of the limit was logged, its end wasn't.
        Placement::ReturnPace pace;
    };
    // What is remembered of an address.
    struct Past {
        std::uint64_t startedAt = 0;
        Core::TimePoint listedAt {};
        Core::TimePoint returnedAt {}; // When a limit last began with an entry of the list.
    };

    void removeUnlisted(const std::map<Core::TargetId, Fleet::Replica> &replicas, Core::TimePoint now);
    // Ends the limits of replicas whose service has no replica any more that has been listed for some time.
    void endWithoutPeers(Core::TimePoint now);
    // Begins the limit of a new entry of the list, if another replica of the service isn't new.
    void beginAdded(const Fleet::Replica &replica, Core::TimePoint now);
    void begin(const Core::TargetId &id, Listed &listed, Placement::ReturnPace::Cause cause, unsigned slots,
               Core::TimePoint now);
    // Logs the end of a limit that has ended.
    static void settle(const Core::TargetId &id, Listed &listed, std::string_view reason, Core::TimePoint now);
    // Whether another replica of the service isn't limited and has been listed for some time.
    [[nodiscard]] bool hasEstablishedPeer(const Core::TargetId &id, const std::string &service,
                                          Core::TimePoint now) const;
    // The entry of this incarnation, or null.
    [[nodiscard]] Listed *find(const Fleet::Replica &replica);

    std::map<Core::TargetId, Listed> m_listed;
    std::map<std::string, Past> m_past; // By address, which stays the same when a replica restarts.
    std::map<std::string, Placement::UsualResponseTime, std::less<>> m_usual; // By service.
    unsigned m_begun = 0;
    unsigned m_late = 0;
    unsigned m_diverted = 0;
};

}
