#pragma once

#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibMembership/OwnershipView.h>
#include <LibOwner/GrantMessages.h>
#include <LibOwner/SlotTable.h>
#include <LibOwner/SuspectPlacement.h>
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
                 const Membership::OwnershipView &ownership, const Platform::TargetDirectory &directory,
                 OwnedTargetsOptions options);

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
    void takeStatus(const Core::TargetId &target, const Engine::EngineStatus &status);
    void request(GrantRequest request, ReplyFunction reply);
    void release(const Core::GrantId &grant);
    void dispatch();
    [[nodiscard]] bool serve(const Waiter &waiter);
    [[nodiscard]] bool startLoad(const Waiter &waiter);
    void orderLoad(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    void orderUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter);
    void finishLoad(const Core::TargetId &target, const std::string &incarnation, const Core::AdapterVersion &adapter,
                    Engine::OrderOutcome outcome);
    void refuseExpired();
    [[nodiscard]] std::vector<Core::TargetId> candidates(const GrantRequest &request) const;
    // The candidates that may run the request now.
    [[nodiscard]] std::vector<Core::TargetId> openTargets(const GrantRequest &request) const;
    [[nodiscard]] Engine::EngineAddress addressOf(const Core::TargetId &target) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Engine::EngineLink &m_engines;
    const Membership::OwnershipView &m_ownership;
    const Platform::TargetDirectory &m_directory;
    OwnedTargetsOptions m_options;
    std::map<Core::TargetId, SlotTable> m_tables;
    SuspectPlacement m_suspects;
    std::deque<Waiter> m_waiting;
    std::uint64_t m_loadCount = 0;
};

}
