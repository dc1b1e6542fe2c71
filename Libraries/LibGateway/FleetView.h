#pragma once

#include <LibFleet/ReleaseTable.h>
#include <LibFleet/ReplicaSet.h>
#include <LibGateway/CallerRequest.h>
#include <LibHolding/HoldingMessages.h>
#include <LibPlacement/AdapterDemand.h>
#include <LibPlacement/ReplicaChooser.h>
#include <LibPlacement/ReplicaHealth.h>
#include <functional>
#include <map>
#include <set>

namespace Gateway {

// What this host knows of the replicas: their entries, what their holders say of them, and what it runs there itself.
class FleetView
{
public:
    // Tells whether a live host gives orders to the replica.
    using IsHeldFunction = std::function<bool(const Core::TargetId &)>;

    // The number of live hosts, this one included.
    using HostCountFunction = std::function<std::size_t()>;

    FleetView(const Fleet::ReplicaSet &replicas, const Fleet::ReleaseTable &releases,
              Placement::ReplicaChooserOptions chooser, IsHeldFunction isHeld, HostCountFunction hostCount);

    // Takes the entries of the list after a change.
    void refresh(Core::TimePoint now);
    // Takes what a holder says of a replica.
    void note(const Holding::ReplicaNotice &notice, Core::TimePoint now);
    // Takes how busy a replica is, by way of the readers; older than what its holder says itself.
    void noteSpread(const Holding::ReplicaLoad &load, Core::TimePoint now);
    // The adapter is in the replica's memory, as its holder or an answer has shown, or isn't.
    void setResident(const Core::TargetId &replica, const std::string &name, std::uint64_t version,
                     Core::TimePoint now);
    void setAbsent(const Core::TargetId &replica, const std::string &name, Core::TimePoint now);
    // The replica's holder can't have an adapter loaded there now.
    void setUnloadable(const Core::TargetId &replica, Core::TimePoint now);

    // A caller's request has arrived; counts towards its adapter's demand.
    void noteDemand(const CallerRequest &request, Core::TimePoint now);

    // The best replica of the service for the request that isn't among the excluded.
    [[nodiscard]] const Fleet::Replica *choose(const CallerRequest &request, const std::string &service,
                                               const std::set<Core::TargetId> &excluded, Core::TimePoint now) const;
    // Whether the replica, as it was when it was chosen, may still be sent requests.
    [[nodiscard]] bool isAvailable(const Fleet::Replica &replica) const;
    // The version of the adapter that the replica has in memory and that may be used; without a value there is none.
    [[nodiscard]] std::optional<std::uint64_t> residentVersion(const Core::TargetId &replica,
                                                               const std::string &name) const;

    // A request was sent to the replica; its prompt waits to be read.
    void begin(const Core::TargetId &replica, const CallerRequest &request);
    // The replica has begun to answer.
    void firstAnswer(const Core::TargetId &replica, const CallerRequest &request);
    void end(const Core::TargetId &replica, const CallerRequest &request, bool isAnswered);
    // What this host has used since the last call, by replica.
    [[nodiscard]] std::vector<Holding::ReplicaUse> takeUse();

    [[nodiscard]] Placement::ReplicaHealth &health();

    // "model/adapter".
    [[nodiscard]] static std::string adapterName(const CallerRequest &request);

private:
    struct View {
        std::map<std::string, std::uint64_t> resident; // Version by "model/adapter".
        std::map<std::string, Core::TimePoint> changedAt; // By what this host learnt itself.
        Core::TimePoint noticedAt {}; // When its holder last told this host of it.
        Core::TimePoint loadNotedAt {}; // When this host last learnt its load, in one way or the other.
        Core::Duration loadDelay {};
        Core::TimePoint unloadableUntil {};
        std::uint64_t startedAt = 0;
        unsigned noticedActive = 0;
        std::uint64_t noticedTokens = 0;
        unsigned reportedActive = 0; // Of this host, as its holder was told last.
        std::uint64_t reportedTokens = 0;
        unsigned active = 0; // Of this host.
        std::uint64_t waitingTokens = 0;
        std::map<std::string, unsigned> running; // Of this host, by "model/adapter".
        std::set<std::string> usedSince; // Adapters whose requests have ended since the last notice.
        bool wasReported = false; // The last notice showed some use.
    };

    static void takeLoad(View &view, const Holding::ReplicaLoad &load, Core::TimePoint now);
    // Estimated requests a second for the adapter, over all hosts.
    [[nodiscard]] double demandFor(const std::string &adapter, Core::TimePoint now) const;
    static void replaceResident(View &view, const std::map<std::string, std::uint64_t> &resident, Core::TimePoint asOf);
    // The adapter's name is empty for requests that need none.
    [[nodiscard]] Placement::Candidate candidate(const Fleet::Replica &replica, const std::string &adapter,
                                                 std::uint64_t newest, Core::TimePoint now) const;
    [[nodiscard]] static std::optional<std::uint64_t> residentVersion(const View &view, const std::string &name,
                                                                      std::uint64_t newest);

    const Fleet::ReplicaSet &m_replicas;
    const Fleet::ReleaseTable &m_releases; // Copies of older versions aren't used.
    Placement::ReplicaChooser m_chooser;
    IsHeldFunction m_isHeld;
    HostCountFunction m_hostCount;
    Placement::ReplicaHealth m_health;
    Placement::AdapterDemand m_demand;
    std::map<Core::TargetId, View> m_views;
};

}
