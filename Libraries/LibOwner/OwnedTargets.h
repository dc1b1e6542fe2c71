#pragma once

#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibMembership/OwnershipView.h>
#include <LibOwner/GrantMessages.h>
#include <LibOwner/SlotTable.h>
#include <LibOwner/TakeoverGuard.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <deque>
#include <functional>

namespace Owner {

struct OwnedTargetsOptions {
    Core::Duration statusPeriod = std::chrono::milliseconds(1000);
    std::size_t mostWaiting = 1000; // Requests waiting for a slot, over all owned targets.
};

// The owner's duty: for the targets that this host owns, decides which adapters are resident and who may run.
class OwnedTargets
{
public:
    OwnedTargets(Core::Scheduler &scheduler, Peer::PeerRouter &router, Engine::EngineLink &engines,
                 Membership::OwnershipView &ownership, const Platform::TargetDirectory &directory, IssuedGrants &grants,
                 TakeoverGuard &guard, OwnedTargetsOptions options);

    void start();
    // The slots of each owned target that has reported, by target.
    [[nodiscard]] const std::map<Core::TargetId, SlotTable> &tables() const;
    // Requests that wait for an adapter or a slot.
    [[nodiscard]] std::size_t waitingCount() const;
    // Loads ordered so far.
    [[nodiscard]] std::uint64_t loadCount() const;

private:
    using ReplyFunction = std::function<void(const GrantReply &)>;
    struct Waiter {
        GrantRequest request;
        ReplyFunction reply;
        Core::TimePoint deadline {};
    };

    void refreshStatus();
    void watchOwnership();
    void askStatus(const Core::TargetId &target);
    void takeStatus(const Core::TargetId &target, const Engine::EngineStatus &status, Core::TimePoint askedAt);
    void request(GrantRequest request, ReplyFunction reply);
    void release(const Core::GrantId &grant);
    void dispatch();
    [[nodiscard]] bool serve(const Waiter &waiter);
    [[nodiscard]] bool startLoad(const Waiter &waiter);
    [[nodiscard]] std::optional<Core::AdapterVersion> victim(const Core::TargetId &target);
    void finishUnload(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter,
                      Engine::OrderOutcome outcome);
    void sendUnload(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter);
    void retryUnload(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter);
    void orderLoad(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    void orderUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    void finishLoad(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter,
                    Engine::OrderOutcome outcome);
    void refuseExpired();
    [[nodiscard]] std::vector<Core::TargetId> candidates(const GrantRequest &request) const;
    [[nodiscard]] Engine::EngineAddress addressOf(const Core::TargetId &target) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Engine::EngineLink &m_engines;
    Membership::OwnershipView &m_ownership;
    const Platform::TargetDirectory &m_directory;
    IssuedGrants &m_grants;
    TakeoverGuard &m_guard;
    OwnedTargetsOptions m_options;
    std::map<Core::TargetId, SlotTable> m_tables;
    std::deque<Waiter> m_waiting;
    std::set<std::pair<Core::TargetId, Core::AdapterVersion>> m_uncertainUnloads; // Unanswered, and sent again.
    std::uint64_t m_loadCount = 0;
};

}
