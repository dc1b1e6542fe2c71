#pragma once

#include <LibOwner/DispatchAction.h>
#include <LibOwner/LoadPace.h>
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
    std::size_t mostWaiting = 1000; // Requests waiting for a grant, over all owned targets.
    unsigned mostLoadFailures = 3; // In a row, before an adapter's requests are refused.
};

// What else must agree before an adapter is loaded or granted on a target, and before it is chosen for eviction. The
// latter is asked in the order in which the adapters would go.
struct DispatcherGuards {
    using Guard = std::function<bool(const Core::TargetId &, const Core::AdapterVersion &)>;

    Guard mayPlace;
    Guard mayEvict;
};

// Decides, for the targets that one host owns, which requests run where, which adapters are loaded and which are
// evicted for them. It has no clock and does no input or output: what happened is told to it with the time, and
// step() returns what is to be done.
class Dispatcher
{
public:
    Dispatcher(const DispatcherOptions &options, Core::TimePoint now);

    // Without guards everything may be placed, and everything idle may go.
    void setGuards(DispatcherGuards guards);

    // A target that has been seen for the first time or has restarted; the adapters are those it holds already.
    void resetTarget(const Core::TargetId &target, const std::string &incarnation, std::uint32_t slotCount,
                     const std::vector<Core::AdapterVersion> &resident, Core::TimePoint now);
    // Says what the target serves and whether it takes new work.
    void setServing(const Core::TargetId &target, const std::string &baseModel, bool isServing);
    // The target's own report of its load, which lags.
    void report(const Core::TargetId &target, std::uint32_t batchCapacity, std::uint32_t running);
    // Forgets idle adapters that the target no longer reports, unless they were used since the report was asked for.
    void forgetMissing(const Core::TargetId &target, std::span<const Core::AdapterVersion> reported,
                       Core::TimePoint askedAt);
    // The host has lost the target.
    void removeTarget(const Core::TargetId &target);
    [[nodiscard]] bool isServed(const std::string &baseModel) const;

    // Takes a request; a refusal comes out of the next step().
    void request(WaitingRequest request, Core::TimePoint now);
    // Ends a grant, or the wait for one.
    void release(const Core::GrantId &grant, Core::TimePoint now);
    void finishLoad(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter,
                    bool isLoaded);
    void finishUnload(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter,
                      bool isUnloaded, Core::TimePoint now);

    // Decides everything that can be decided now.
    [[nodiscard]] std::vector<DispatchAction> step(Core::TimePoint now);

    // True when a load would begin now if there were a permit for it.
    [[nodiscard]] bool wantsPermit(Core::TimePoint now) const;
    // Gives a permit to another host. Returns false when there is none to spare or this host needs it itself.
    [[nodiscard]] bool lendPermit(Core::TimePoint now);
    void receivePermit();
    [[nodiscard]] Core::Duration untilPermit(Core::TimePoint now) const;

    [[nodiscard]] const std::map<Core::TargetId, SlotTable> &tables() const;
    [[nodiscard]] const WaitingQueue &waiting() const;
    // Loads ordered so far.
    [[nodiscard]] std::uint64_t loadCount() const;

private:
    struct Reservation {
        Core::AdapterVersion victim;
        Core::AdapterVersion successor;
    };
    struct Choice {
        Core::TargetId target;
        std::optional<Core::AdapterVersion> victim; // None when a slot is free.
    };

    [[nodiscard]] bool canServe(const Core::TargetId &target, const std::string &baseModel) const;
    // True when this very request may run on the target: suspects stay apart, and targets to avoid come last.
    [[nodiscard]] bool isOpen(const Core::TargetId &target, const WaitingRequest &request) const;
    // The oldest request of a group that some target is open for, or null.
    [[nodiscard]] const WaitingRequest *oldestOpen(const std::vector<WaitingRequest> &group) const;
    [[nodiscard]] bool isDraining(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;
    // Refuses what waited too long, and what no owned target can serve any more.
    void refuseHopeless(Core::TimePoint now);
    void serveAll(Core::TimePoint now);
    [[nodiscard]] const WaitingRequest *nextToServe() const;
    [[nodiscard]] std::optional<Core::TargetId> readyTarget(const WaitingRequest &request) const;
    void beginLoads(Core::TimePoint now);
    [[nodiscard]] bool hasLoadCandidate(Core::TimePoint now) const;
    [[nodiscard]] std::vector<Policy::LoadCandidate> loadCandidates(Core::TimePoint now) const;
    [[nodiscard]] std::optional<Policy::LoadCandidate> viewLoad(const std::vector<WaitingRequest> &group,
                                                                Core::TimePoint now) const;
    [[nodiscard]] std::optional<Choice> place(const WaitingRequest &request, Core::TimePoint now) const;
    [[nodiscard]] std::optional<Choice> placeFree(const WaitingRequest &request) const;
    [[nodiscard]] bool mayPlace(const Core::TargetId &target, const Core::AdapterVersion &adapter) const;
    [[nodiscard]] std::optional<Choice> firstEvictable(std::vector<std::pair<double, Choice>> victims) const;
    [[nodiscard]] std::optional<Choice> placeByEviction(const WaitingRequest &request, Core::TimePoint now) const;
    void drainFor(const Policy::LoadCandidate &load, Core::TimePoint now);
    void beginLoad(const Choice &choice, const Core::AdapterVersion &adapter, Core::TimePoint now);
    [[nodiscard]] Policy::EvictionCandidate viewVictim(const Core::TargetId &target,
                                                       const Core::AdapterVersion &adapter, const Slot &slot,
                                                       Core::TimePoint now) const;
    [[nodiscard]] std::size_t copiesOf(const Core::AdapterVersion &adapter) const;
    [[nodiscard]] std::size_t rankOf(const Core::TargetId &target) const;
    void takeFailure(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    void refuse(WaitingRequest request, GrantOutcome outcome, std::string reason);

    DispatcherOptions m_options;
    DispatcherGuards m_guards;
    Policy::Popularity m_popularity;
    Policy::LoadBudget m_budget;
    LoadPace m_pace;
    std::size_t m_backlog = 0; // Adapters that waited to be loaded when loads were last decided.
    std::map<Core::TargetId, SlotTable> m_tables;
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
