#pragma once

#include <LibOwner/DispatchAction.h>
#include <LibOwner/LoadIntervalEstimate.h>
#include <LibOwner/SlotTable.h>
#include <LibOwner/SuspectPlacement.h>
#include <LibOwner/TargetLoad.h>
#include <LibPolicy/LoadBudget.h>
#include <LibPolicy/PolicyVersion.h>
#include <LibPolicy/Popularity.h>
#include <functional>

namespace Owner {

struct DispatcherOptions {
    const Policy::PolicyVersion *policy = Policy::findPolicyVersion("load-stalls");
    Policy::LoadBudgetOptions budget;
    std::size_t maxWaiting = 1000; // Requests waiting for a grant, summed over all owned targets.
    unsigned maxLoadFailures = 3; // Consecutive failures after which an adapter's waiting requests are refused.
};

// Additional conditions: mayPlace for loading or granting an adapter on a target, mayEvict for evicting it from there.
// mayEvict is called for candidates in the order of eviction until it returns true, because it may have side effects.
struct DispatcherGuards {
    using Guard = std::function<bool(const Core::TargetId &, const Core::AdapterVersion &)>;

    Guard mayPlace;
    Guard mayEvict;
};

// Decides, for the targets that one host owns, on which target each request runs, which adapters are loaded and which
// are evicted. It has no clock and does no input or output: callers report events with the current time, and step()
// returns the actions to carry out.
class Dispatcher
{
public:
    Dispatcher(const DispatcherOptions &options, Core::TimePoint now);

    // Without guards, any adapter may be placed and any idle adapter may be evicted.
    void setGuards(DispatcherGuards guards);

    // Adds a target, or resets one that has restarted. The adapters are those already resident on it.
    void resetTarget(const Core::TargetId &target, const std::string &incarnation, std::uint32_t slotCount,
                     const std::vector<Core::AdapterVersion> &resident, Core::TimePoint now);
    // Sets which base model the target serves and whether it accepts new requests.
    void setServing(const Core::TargetId &target, const std::string &baseModel, bool isServing);
    // Applies the target's report of its load, which may be older than the latest grants.
    void report(const Core::TargetId &target, std::uint32_t batchCapacity, std::uint32_t running);
    // Removes idle adapters that the target no longer reports, unless they were used since the report was requested.
    void removeUnreported(const Core::TargetId &target, std::span<const Core::AdapterVersion> reported,
                          Core::TimePoint requestedAt);
    // Adds adapters that the target reports and this owner doesn't know, such as those whose load an earlier owner had
    // ordered. A report requested before the last unload of the target was answered adds none.
    void addReported(const Core::TargetId &target, std::span<const Core::AdapterVersion> reported,
                     Core::TimePoint requestedAt, Core::TimePoint now);
    // Removes a target that this host no longer owns.
    void removeTarget(const Core::TargetId &target);
    [[nodiscard]] bool isServed(const std::string &baseModel) const;

    // Queues a request, or refuses it with an action of the next step().
    void request(WaitingRequest request, Core::TimePoint now);
    // Releases a grant, or removes the request that waits for it.
    void release(const Core::GrantId &grant, Core::TimePoint now);
    void finishLoad(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter,
                    bool isLoaded);
    void finishUnload(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter,
                      bool isUnloaded, Core::TimePoint now);

    // Makes all decisions that are possible now and returns the resulting actions.
    [[nodiscard]] std::vector<DispatchAction> step(Core::TimePoint now);

    // Returns true if a load could begin now with one more permit.
    [[nodiscard]] bool wantsPermit(Core::TimePoint now) const;
    // Removes a permit to give it to another host. Returns false if there is none or this host needs it itself.
    [[nodiscard]] bool lendPermit(Core::TimePoint now);
    void receivePermit();
    [[nodiscard]] Core::Duration untilPermit(Core::TimePoint now) const;

    [[nodiscard]] const std::map<Core::TargetId, SlotTable> &tables() const;
    [[nodiscard]] const WaitingQueue &waiting() const;
    // Returns the number of loads ordered so far.
    [[nodiscard]] std::uint64_t loadCount() const;

private:
    // A slot whose adapter is being unloaded, and the adapter to load into it next.
    struct Reservation {
        Core::AdapterVersion victim;
        Core::AdapterVersion successor;
    };
    struct Placement {
        Core::TargetId target;
        std::optional<Core::AdapterVersion> victim; // The adapter to evict; empty if a slot is free.
    };

    [[nodiscard]] bool canServe(const Core::TargetId &target, const std::string &baseModel) const;
    // Returns true if this particular request may run on the target: a target runs one suspect at a time, and a target
    // to avoid is used only if no other target serves the base model.
    [[nodiscard]] bool accepts(const Core::TargetId &target, const WaitingRequest &request) const;
    // Returns the oldest request of a group that some target accepts, or null.
    [[nodiscard]] const WaitingRequest *oldestPlaceable(const std::vector<WaitingRequest> &group) const;
    [[nodiscard]] bool isDraining(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;
    // Refuses requests past their deadline and requests that no owned target can serve any more.
    void refuseUnservable(Core::TimePoint now);
    void issueGrants(Core::TimePoint now);
    [[nodiscard]] const WaitingRequest *nextGrantable() const;
    [[nodiscard]] std::optional<Core::TargetId> findReadyTarget(const WaitingRequest &request) const;
    void beginLoads(Core::TimePoint now);
    [[nodiscard]] bool hasLoadCandidate(Core::TimePoint now) const;
    [[nodiscard]] std::vector<Policy::LoadCandidate> loadCandidates(Core::TimePoint now) const;
    [[nodiscard]] std::optional<Policy::LoadCandidate> loadCandidate(const std::vector<WaitingRequest> &group,
                                                                     Core::TimePoint now) const;
    [[nodiscard]] std::optional<Placement> choosePlacement(const WaitingRequest &request, Core::TimePoint now) const;
    [[nodiscard]] std::optional<Placement> chooseFreeSlot(const WaitingRequest &request) const;
    [[nodiscard]] bool mayPlace(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;
    [[nodiscard]] std::optional<Placement>
    lowestValueEvictable(std::vector<std::pair<double, Placement>> victims) const;
    [[nodiscard]] std::optional<Placement> chooseEviction(const WaitingRequest &request, Core::TimePoint now) const;
    void startDraining(const Policy::LoadCandidate &load, Core::TimePoint now);
    void beginLoad(const Placement &placement, const Core::AdapterVersion &adapter, Core::TimePoint now);
    [[nodiscard]] Policy::EvictionCandidate evictionCandidate(const Core::TargetId &target,
                                                              const Core::AdapterVersion &adapter, const Slot &slot,
                                                              Core::TimePoint now) const;
    [[nodiscard]] std::size_t countCopies(const Core::AdapterVersion &adapter) const;
    [[nodiscard]] std::size_t rankOf(const Core::TargetId &target) const;
    void recordLoadFailure(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    void refuse(WaitingRequest request, GrantOutcome outcome, std::string reason);

    DispatcherOptions m_options;
    DispatcherGuards m_guards;
    Policy::Popularity m_popularity;
    Policy::LoadBudget m_budget;
    LoadIntervalEstimate m_loadInterval;
    std::size_t m_backlog = 0; // Number of adapters waiting to be loaded at the last load decision.
    std::map<Core::TargetId, SlotTable> m_tables;
    std::map<Core::TargetId, Core::TimePoint> m_lastUnloads; // When the last unload of each target was answered.
    std::map<Core::TargetId, TargetLoad> m_loads;
    std::map<Core::TargetId, std::vector<Reservation>> m_reservations;
    std::map<Core::TargetId, Core::AdapterVersion> m_draining;
    WaitingQueue m_waiting;
    SuspectPlacement m_suspects;
    std::map<Core::AdapterVersion, unsigned> m_failures;
    std::vector<DispatchAction> m_actions;
    std::uint64_t m_loadCount = 0;
};

}
