#pragma once

#include <LibAccounts/FairShare.h>
#include <LibFleet/ReleaseTable.h>
#include <LibFleet/ReplicaSet.h>
#include <LibGateway/CallerRequest.h>
#include <LibGateway/FleetExplanation.h>
#include <LibGateway/ReplicaReturns.h>
#include <LibGateway/RequestAccount.h>
#include <LibHolding/HoldingMessages.h>
#include <LibPlacement/AdapterDemand.h>
#include <LibPlacement/AdmissionShare.h>
#include <LibPlacement/ReplicaChooser.h>
#include <LibPlacement/ReplicaHealth.h>
#include <LibPlacement/ReplicaPauses.h>
#include <LibPlacement/ReplicaSpeed.h>
#include <LibPlacement/RequestLimit.h>
#include <array>
#include <functional>
#include <map>
#include <set>
#include <span>

namespace Gateway {

// This host's view of the replicas: their entries in the list, the notices of their holders, and the requests that this
// host runs there.
class FleetView
{
public:
    // Returns whether the replica has a live holder.
    using IsHeldFunction = std::function<bool(const Core::TargetId &)>;

    // Returns the number of live hosts, including this one.
    using HostCountFunction = std::function<std::size_t()>;

    // Returns the tokens that each replica of the service has memory for; zero if it isn't known.
    using MemoryFunction = std::function<std::uint64_t(const std::string &service)>;

    // Returns the shortest pause limit of the routes to the service; zero if none has one.
    using PauseLimitFunction = std::function<Core::Duration(const std::string &service)>;

    // Called after a replica was found to leave.
    using LeavingFunction = std::function<void()>;

    // The seed differs between hosts. It decides in which order they take turns at a replica.
    FleetView(Fleet::ReplicaSet &replicas, const Fleet::ReleaseTable &releases,
              Placement::ReplicaChooserOptions chooser, IsHeldFunction isHeld, HostCountFunction hostCount,
              std::uint64_t turnSeed = 0);

    // Applies the list's entries after a change.
    void refresh(Core::TimePoint now);
    // Applies a holder's notice about a replica.
    void applyNotice(const Holding::ReplicaNotice &notice, Core::TimePoint now);
    // Applies a replica's load that arrived through the zone readers. It is older than a notice from the holder itself.
    void applyExchangedLoad(const Holding::ReplicaLoad &load, Core::TimePoint now);
    // Records that the adapter is or isn't in the replica's memory, as learned from its holder's reply or its response.
    void setResident(const Core::TargetId &replica, const std::string &name, std::uint64_t version,
                     Core::TimePoint now);
    void setAbsent(const Core::TargetId &replica, const std::string &name, Core::TimePoint now);
    // Records that the replica's holder can't load an adapter there at present.
    void setUnloadable(const Core::TargetId &replica, Core::TimePoint now);

    // Records that the replica said in a response that it leaves. No request is sent to this incarnation from now on.
    // Returns false if that was known.
    bool recordLeaving(const Fleet::Replica &replica, Core::TimePoint now);
    void onLeaving(LeavingFunction leaving);
    // Records that the replica wants no requests from this host for some time.
    Placement::ReplicaPauses::Change recordPause(const Fleet::Replica &replica, Core::Duration pause,
                                                 Core::TimePoint now);
    // Whether the replica wants nothing from this host at present.
    [[nodiscard]] bool isPaused(const Fleet::Replica &replica, Core::TimePoint now) const;
    // Records the request limit that the replica names, or none, in the response to a request that was sent at this
    // time.
    Placement::RequestLimit::Change recordLimit(const Fleet::Replica &replica, std::optional<double> perSecond,
                                                Core::TimePoint sentAt, Core::TimePoint now);

    void setMemory(MemoryFunction memory);
    void setPauseLimit(PauseLimitFunction pauseLimit);
    // Prompt tokens that an engine has to process before a request just sent to it gets its first event. Zero if the
    // request waits for other reasons too, so that its first event doesn't show the speed of the engine.
    [[nodiscard]] std::uint64_t tokensUntilFirstEvent(const Fleet::Replica &replica) const;
    // Records the time that an engine took for so many prompt tokens.
    void recordPrefill(const Core::TargetId &replica, std::uint64_t tokens, Core::Duration time);
    // Records the time between two events of a stream.
    void recordEventTime(const Core::TargetId &replica, Core::Duration time);
    // Records the time that a replica of a plain service took for a response.
    void recordResponseTime(const Fleet::Replica &replica, const std::string &route, Core::Duration time,
                            Core::TimePoint now);
    [[nodiscard]] const Placement::ReplicaSpeed &speed() const;

    // Counts a caller's request towards the demand for its adapter.
    void recordDemand(const CallerRequest &request, Core::TimePoint now);

    // The best replica of the service for the request that isn't excluded, or null.
    [[nodiscard]] const Fleet::Replica *choose(const CallerRequest &request, const std::string &service,
                                               const std::set<Core::TargetId> &excluded, Core::TimePoint now);
    // How choose() would decide about a request whose demand isn't recorded and that was sent to no replica so far.
    [[nodiscard]] FleetExplanation explain(const CallerRequest &request, const std::string &service,
                                           Core::TimePoint now) const;
    // Whether the same incarnation of the replica is still listed, isn't draining and accepts requests from this host.
    [[nodiscard]] bool isAvailable(const Fleet::Replica &replica, Core::TimePoint now) const;
    // When the first replica of the service that could serve the request accepts requests again. Empty unless all of
    // them are paused or at their limits.
    [[nodiscard]] std::optional<Core::TimePoint> firstAcceptance(const CallerRequest &request,
                                                                 const std::string &service, Core::TimePoint now) const;
    // The version of the adapter in the replica's memory; empty if the adapter is absent or older than the newest
    // release.
    [[nodiscard]] std::optional<std::uint64_t> residentVersion(const Core::TargetId &replica,
                                                               const std::string &name) const;

    // Records that a request was sent to the replica. Its prompt counts as unprocessed until the response starts.
    void recordAttemptStarted(const Core::TargetId &replica, const CallerRequest &request, Core::TimePoint now);
    // Records that the response has started.
    void recordResponseStarted(const Core::TargetId &replica, const CallerRequest &request);
    void recordAttemptEnded(const Core::TargetId &replica, const CallerRequest &request, bool hasResponded);
    // Records how long a plain service took to answer a request, of a route with the given latency objective, or that
    // it had no room for it. A plain service whose responses become late gets a smaller share of the requests.
    void recordTimeliness(const Core::TargetId &replica, const CallerRequest &request, Core::Duration time,
                          Core::Duration objective, Core::TimePoint now);
    void recordNoRoom(const Core::TargetId &replica, const CallerRequest &request, Core::TimePoint now);
    // The replicas of a plain service without room for a request that has just arrived, by what its account and the
    // others send. Records nothing. No value if the configuration has no accounts or if the request needs a model.
    [[nodiscard]] std::optional<AccountAdmission> accountAdmission(const CallerRequest &request,
                                                                   const std::string &service,
                                                                   const RequestAccount &account,
                                                                   Core::TimePoint now) const;
    // Records the request of the account, for the decisions about later ones.
    void recordAccountRequest(const CallerRequest &request, const std::string &service, const RequestAccount &account,
                              Core::TimePoint now);
    // This host's use of each replica that has changed since the last call, or wasn't returned for some time.
    [[nodiscard]] std::vector<Holding::ReplicaUse> collectUse(Core::TimePoint now);

    // Records the start of a stream, or a complete response.
    void recordResponse(const Fleet::Replica &replica, const ReturnSample &sample, Core::TimePoint now);
    // Records the outcome of an attempt. Returns true if the replica is avoided from now on.
    bool recordOutcome(const Fleet::Replica &replica, Placement::AttemptOutcome outcome, Core::TimePoint sentAt,
                       Core::TimePoint now);
    void registerMetrics(Metrics::Registry &metrics) const;

    [[nodiscard]] Placement::ReplicaHealth &health();

    // The request's adapter as "model/adapter", or empty if it needs none.
    [[nodiscard]] static std::string adapterName(const CallerRequest &request);

private:
    // Times in microseconds that this host has measured since its last notice to the holder. The shorter of the last
    // two is reported: a longer one may be due to the load, and an older one may be from before a stall.
    struct MeasuredTimes {
        std::array<double, 2> last {};
        std::uint32_t samples = 0;

        void record(double microseconds);
        // Zero without samples.
        [[nodiscard]] double shortest() const;
    };

    // What this host knows about one replica.
    struct ReplicaView {
        std::map<std::string, std::uint64_t> resident; // Versions of adapters in memory, by "model/adapter".
        // When this host last observed a change of the adapter's residency itself, by "model/adapter".
        std::map<std::string, Core::TimePoint> changedAt;
        // Adapters that left memory, the most recent last, as hashes of name and version. The replica keeps a copy of
        // them from which they load without the weight store.
        std::vector<std::uint64_t> cached;
        std::size_t mostResident = 0; // Largest number of adapters seen in memory.
        Core::TimePoint holderNoticeAt {}; // When this host last received a notice from the holder.
        Core::TimePoint loadUpdatedAt {}; // When this host last learned the load, directly or through the zone readers.
        Core::Duration loadDelay {}; // Time until the load of another adapter would begin.
        Core::TimePoint unloadableUntil {};
        std::uint64_t startedAt = 0;
        unsigned otherHostsActive = 0; // Running requests of other hosts.
        std::uint64_t otherHostsWaitingTokens = 0;
        std::uint64_t otherHostsUsedTokens = 0;
        Placement::RequestLimit limit;
        Placement::AdmissionShare admission; // Of a plain service.
        unsigned active = 0; // Running requests of this host.
        std::uint64_t waitingTokens = 0;
        std::uint64_t usedTokens = 0;
        MeasuredTimes eventTimes;
        MeasuredTimes prefillTimes;
        std::uint32_t knownEventMicroseconds = 0; // As last learned by the holder; zero if it isn't known.
        std::map<std::string, unsigned> running; // Running requests of this host, by "model/adapter".
        std::set<std::string> recentlyUsed; // Adapters whose last request has ended since the last notice.
        Placement::ReturnSigns othersSigns; // What the other hosts have seen of a replica that has returned.
        Holding::ReplicaUse reported; // The last notice to the holder.
        Core::TimePoint reportedAt {};
        std::uint64_t noticeNumber = 0; // Of the last notice of the holder; zero if a complete one is needed.
    };

    static void recordCached(ReplicaView &view, const std::string &name, std::uint64_t version);
    [[nodiscard]] static std::uint64_t cacheKey(const std::string &name, std::uint64_t version);
    void applyLoad(ReplicaView &view, const Holding::ReplicaLoad &load, Core::TimePoint now);
    // Records what the holder has learned about the speed of the replica.
    void applySpeed(ReplicaView &view, const Holding::ReplicaLoad &load, Core::TimePoint now);
    // Whether the measured times show a stall or the end of one that the holder should learn of at once.
    [[nodiscard]] static bool hasNewSpeed(const ReplicaView &view, Core::TimePoint now);
    // Whether the request being placed is counted in the demand of this host.
    enum class OwnDemand { Recorded, Unrecorded };
    // Estimated requests per second for the adapter, over all hosts, not counting the request being placed.
    [[nodiscard]] double demandFor(const std::string &adapter, OwnDemand own, Core::TimePoint now) const;
    static void replaceResident(ReplicaView &view, const std::map<std::string, std::uint64_t> &resident,
                                Core::TimePoint asOf);
    // The listed replicas that could serve the request and aren't draining.
    [[nodiscard]] std::vector<const Fleet::Replica *> servingReplicas(const CallerRequest &request,
                                                                      const std::string &service) const;
    // Why the replica accepts no requests from this host: it is paused or at its limit. Requests that were held off by
    // a pause fill its free slots only, as they would otherwise all arrive at once.
    [[nodiscard]] Exclusion pauseOrLimitOf(const Fleet::Replica &replica, Core::TimePoint now) const;
    // Whether the replica runs the model that the request needs, if it needs one.
    [[nodiscard]] static bool hasModelFor(const Fleet::Replica &replica, const CallerRequest &request);
    // Why the request can't be sent to the listed replica.
    [[nodiscard]] Exclusion exclusionOf(const Fleet::Replica &replica, const CallerRequest &request,
                                        Core::TimePoint now) const;
    // Whether the replica, of a plain service, has room for the request.
    [[nodiscard]] bool admits(const Fleet::Replica &replica, const CallerRequest &request, Core::TimePoint now) const;
    // What is known of the other hosts that share the limit of the replica.
    [[nodiscard]] Placement::LimitSharing sharing(const Core::TargetId &replica) const;
    // What this host knows of the load of the replica and of the hosts that share it.
    [[nodiscard]] SharedLoad sharedLoad(const Fleet::Replica &replica, Core::TimePoint now) const;
    // The signs in a load without those that this host has reported.
    [[nodiscard]] static Placement::ReturnSigns signsOfOthers(const Holding::ReturnSigns &all,
                                                              const Holding::ReturnSigns &reported);
    // Tells the limit of a replica that has returned what is known of its load.
    void updateReturnLoad(const Core::TargetId &replica, Core::TimePoint now);
    [[nodiscard]] static bool isLoadKnown(const ReplicaView &view, Core::TimePoint now);
    // The part of the limit of a replica that has returned that is in use; zero for other replicas.
    [[nodiscard]] double usedReturnLimit(const Fleet::Replica &replica, Core::TimePoint now) const;
    // Whether the replica hasn't returned, or this host may send it a request within its limit.
    [[nodiscard]] bool hasReturnRoom(const Fleet::Replica &replica, OwnDemand own, Core::TimePoint now) const;
    // The replicas to which a request may be sent, and their states in the same order.
    struct UsableReplicas {
        std::vector<const Fleet::Replica *> replicas;
        std::vector<Placement::Candidate> candidates;
    };
    [[nodiscard]] UsableReplicas usableReplicas(const CallerRequest &request, const std::string &service,
                                                const std::set<Core::TargetId> &excluded, Core::TimePoint now) const;
    // The request as it is placed. Refers to the request and to the name of the adapter.
    [[nodiscard]] Placement::PlacementRequest placementOf(const CallerRequest &request, const std::string &service,
                                                          std::string_view adapter, double demand) const;
    // The indices that a decision yields. A replica that has returned is passed over while it is at its limit, if
    // another one can serve the request as well.
    struct Decision {
        std::optional<std::size_t> chosen;
        std::optional<std::size_t> returning; // The best candidate, if it has returned.
    };
    [[nodiscard]] Decision decideWithinLimits(const Placement::PlacementRequest &placement,
                                              const UsableReplicas &usable, Core::TimePoint now) const;
    // Decides, and records what the decision means for the replica that has returned.
    [[nodiscard]] std::optional<std::size_t> chooseWithinLimits(const Placement::PlacementRequest &placement,
                                                                const UsableReplicas &usable, Core::TimePoint now);
    // The state of one replica in an explanation, without its cost.
    [[nodiscard]] ReplicaExplanation explainReplica(const Fleet::Replica &replica, const CallerRequest &request,
                                                    Core::TimePoint now) const;
    // The adapter name is empty for requests that need no adapter.
    [[nodiscard]] Placement::Candidate candidate(const Fleet::Replica &replica, const std::string &adapter,
                                                 std::uint64_t newest, Core::TimePoint now) const;
    [[nodiscard]] static std::optional<std::uint64_t> residentVersion(const ReplicaView &view, const std::string &name,
                                                                      std::uint64_t newest);

    Fleet::ReplicaSet &m_replicas;
    const Fleet::ReleaseTable &m_releases; // Older versions than these aren't used.
    Placement::ReplicaChooser m_chooser;
    IsHeldFunction m_isHeld;
    HostCountFunction m_hostCount;
    std::uint64_t m_turnSeed;
    LeavingFunction m_leaving;
    Placement::ReplicaHealth m_health;
    Placement::ReplicaPauses m_pauses;
    ReplicaReturns m_returns;
    Placement::AdapterDemand m_demand;
    Placement::ReplicaSpeed m_speed;
    MemoryFunction m_memory;
    PauseLimitFunction m_pauseLimit;
    std::map<std::string, Accounts::FairShare> m_fairShares; // By plain service.
    std::map<Core::TargetId, ReplicaView> m_views;
};

}
