#pragma once

#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibMembership/OwnershipView.h>
#include <LibOwner/Dispatcher.h>
#include <LibOwner/IssuedGrants.h>
#include <LibOwner/TakeoverGuard.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <LibTrace/Tracer.h>
#include <functional>
#include <set>

namespace Owner {

struct OwnedTargetsOptions {
    Core::Duration statusPeriod = std::chrono::milliseconds(1000);
    Core::Duration permitTimeout = std::chrono::milliseconds(500); // Of asking another host for a permit.
    Core::Duration permitPause = std::chrono::milliseconds(100); // After a host had none to give.
    DispatcherOptions dispatcher;
};

// The owner's duty: for the targets that this host owns, carries out what the dispatcher decides.
class OwnedTargets
{
public:
    OwnedTargets(Core::Scheduler &scheduler, Peer::PeerRouter &router, Engine::EngineLink &engines,
                 Membership::OwnershipView &ownership, const Platform::TargetDirectory &directory, IssuedGrants &grants,
                 TakeoverGuard &guard, Trace::Tracer &tracer, const OwnedTargetsOptions &options);

    void start();
    // The slots of each owned target that has reported, by target.
    [[nodiscard]] const std::map<Core::TargetId, SlotTable> &tables() const;
    // Requests that wait for an adapter or a slot.
    [[nodiscard]] std::size_t waitingCount() const;
    // Loads ordered so far.
    [[nodiscard]] std::uint64_t loadCount() const;

private:
    using ReplyFunction = std::function<void(const GrantReply &)>;

    void refreshStatus();
    void watchOwnership();
    void askStatus(const Core::TargetId &target);
    void refreshTargets();
    void takeStatus(const Core::TargetId &target, const Engine::EngineStatus &status, Core::TimePoint askedAt);
    void request(const GrantRequest &request, ReplyFunction reply);
    // The same reply, which also ends a span of this host's decision.
    [[nodiscard]] ReplyFunction traced(const GrantRequest &request, ReplyFunction reply);
    void release(const Core::GrantId &grant);
    void step();
    void act(const GrantAction &action);
    void act(const RefuseAction &action);
    void act(const LoadAction &action);
    void act(const UnloadAction &action);
    // One start of a target for as long as this host has owned it without a break. What was decided in an earlier
    // tenure isn't ordered in a later one, nor do its late results count there.
    struct Tenure {
        std::string incarnation; // Of the target.
        std::uint64_t number = 0;
    };
    void orderLoad(const LoadAction &action, const Tenure &tenure);
    void sendUnload(const UnloadAction &action, const Tenure &tenure);
    void finishUnload(const UnloadAction &action, const Tenure &tenure, Engine::OrderOutcome outcome);
    [[nodiscard]] Tenure tenureOf(const Core::TargetId &target) const;
    [[nodiscard]] Engine::AdapterOrder orderFor(const Core::TargetId &target, const Core::AdapterVersion &adapter,
                                                const Tenure &tenure) const;
    [[nodiscard]] bool isCurrent(const Core::TargetId &target, const Tenure &tenure) const;
    [[nodiscard]] bool isKnown(const Core::TargetId &target, const std::string &incarnation) const;
    void answer(const GrantReply &reply);
    void seekPermit();
    void takePermit(bool isGiven);
    [[nodiscard]] std::vector<Core::HostId> otherOwners() const;
    [[nodiscard]] std::uint64_t fenceOf(const Core::TargetId &target) const;
    [[nodiscard]] Engine::EngineAddress addressOf(const Core::TargetId &target) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Engine::EngineLink &m_engines;
    Membership::OwnershipView &m_ownership;
    const Platform::TargetDirectory &m_directory;
    IssuedGrants &m_grants;
    TakeoverGuard &m_guard;
    Trace::Tracer &m_tracer;
    OwnedTargetsOptions m_options;
    Dispatcher m_dispatcher;
    std::map<Core::TargetId, std::uint64_t> m_tenures; // The number of each target's tenure.
    std::uint64_t m_lastTenure = 0;
    std::map<Core::GrantId, ReplyFunction> m_replies; // Of the requests that wait.
    std::set<std::pair<Core::TargetId, Core::AdapterVersion>> m_uncertainUnloads; // Unanswered, and sent again.
    bool m_seeksPermit = false;
    std::size_t m_lastLender = 0;
};

}
