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
    Core::Duration permitTimeout = std::chrono::milliseconds(500); // Timeout of a permit request to another host.
    Core::Duration permitRetryDelay = std::chrono::milliseconds(100); // Delay after a host gave no permit.
    DispatcherOptions dispatcher;
};

// Handles grant requests for the targets that this host owns: feeds the dispatcher with requests and target status, and
// carries out its actions.
class OwnedTargets
{
public:
    OwnedTargets(Core::Scheduler &scheduler, Peer::PeerRouter &router, Engine::EngineLink &engines,
                 Membership::OwnershipView &ownership, const Platform::TargetDirectory &directory, IssuedGrants &grants,
                 TakeoverGuard &guard, Trace::Tracer &tracer, const OwnedTargetsOptions &options);

    void start();
    // Returns the slots of each owned target that has reported its status.
    [[nodiscard]] const std::map<Core::TargetId, SlotTable> &tables() const;
    // Returns the number of requests that wait for a grant.
    [[nodiscard]] std::size_t waitingCount() const;
    // Returns the number of loads ordered so far.
    [[nodiscard]] std::uint64_t loadCount() const;

private:
    using ReplyFunction = std::function<void(const GrantReply &)>;

    void refreshStatus();
    void watchOwnership();
    void requestStatus(const Core::TargetId &target);
    void refreshTargets();
    void applyStatus(const Core::TargetId &target, const Engine::EngineStatus &status, Core::TimePoint requestedAt);
    void handleRequest(const GrantRequest &request, ReplyFunction reply);
    // Wraps the reply function so that it also ends a trace span of the decision.
    [[nodiscard]] ReplyFunction withSpan(const GrantRequest &request, ReplyFunction reply);
    // Returns true if the grant is valid and this host still owns its target.
    [[nodiscard]] bool isStillGranted(const Core::GrantId &grant);
    void release(const Core::GrantId &grant);
    void step();
    void execute(const GrantAction &action);
    void execute(const RefuseAction &action);
    void execute(const LoadAction &action);
    void execute(const UnloadAction &action);
    // One incarnation of a target during one uninterrupted period of ownership by this host. Actions decided in an
    // earlier epoch are not sent in a later one, and results that arrive late are ignored there.
    struct OwnershipEpoch {
        std::string incarnation; // Incarnation of the target.
        std::uint64_t number = 0;
    };
    void orderLoad(const LoadAction &action, const OwnershipEpoch &epoch);
    void sendUnload(const UnloadAction &action, const OwnershipEpoch &epoch);
    void finishUnload(const UnloadAction &action, const OwnershipEpoch &epoch, Engine::OrderOutcome outcome);
    [[nodiscard]] OwnershipEpoch epochOf(const Core::TargetId &target) const;
    [[nodiscard]] Engine::AdapterOrder orderFor(const Core::TargetId &target, const Core::AdapterVersion &adapter,
                                                const OwnershipEpoch &epoch) const;
    [[nodiscard]] bool isCurrent(const Core::TargetId &target, const OwnershipEpoch &epoch) const;
    [[nodiscard]] bool isCurrentIncarnation(const Core::TargetId &target, const std::string &incarnation) const;
    void sendReply(const GrantReply &reply);
    void requestPermit();
    void finishPermitRequest(bool isGranted);
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
    std::map<Core::TargetId, std::uint64_t> m_epochs; // The number of each target's current epoch.
    std::uint64_t m_lastEpoch = 0;
    std::map<Core::GrantId, ReplyFunction> m_replies; // Reply functions of the waiting requests.
    std::set<std::pair<Core::TargetId, Core::AdapterVersion>> m_unresolvedUnloads; // Retried until a response.
    bool m_isRequestingPermit = false;
    std::size_t m_lastPermitHost = 0;
};

}
