#pragma once

#include <LibFront/CallerResponse.h>
#include <LibFront/CompletionRequest.h>
#include <LibFront/EngineAttempt.h>
#include <LibFront/FrontDependencies.h>
#include <LibFront/StreamAssembly.h>
#include <LibOwner/GrantMessages.h>
#include <deque>
#include <functional>
#include <memory>

namespace Front {

// Handles one caller's request from its arrival to the end of its response: selects the adapter version by the applied
// tickets (configuration changes), requests a grant (permission to run on a target) from the owners, and forwards the
// engine's response to the caller. A broken response is resumed at the same target or under a new grant as long as the
// failure's rule, the retry budget and the caller's deadline allow.
class Completion : public std::enable_shared_from_this<Completion>
{
public:
    using DoneFunction = std::function<void()>;

    // The done function is called once, after the request has ended and nothing more will be sent.
    Completion(const FrontDependencies &dependencies, Core::HostId self, Core::ZoneId zone, CompletionRequest request,
               std::shared_ptr<CallerResponse> response, DoneFunction done);

    void start();
    // Handles a disconnected caller: stops the attempt at the engine and releases the grant.
    void abandon();

private:
    struct RankedOwner {
        Core::HostId owner;
        bool isInOwnZone = true;
    };
    enum class GrantState {
        None,
        Requested,
        // Held without an attempt that runs under it.
        Held,
        // An attempt was started under the grant and may still be running.
        InUse,
    };

    void rankOwners();
    [[nodiscard]] std::vector<Core::TargetId> rankTargetsOf(const Core::ZoneId &zone) const;
    void addOwnerOf(const Core::TargetId &target);
    void tryNextOwner();
    void sendGrantRequest();
    void handleGrantReply(const Owner::GrantReply &reply);
    void handleUnresponsiveOwner();
    void retryOwners();
    void startAttempt(Engine::StreamConnection connection);
    // Asks the owner whether the grant is still valid, and starts the attempt if it is.
    void confirmGrant(Engine::StreamConnection connection);
    [[nodiscard]] EngineAttempt::Events attemptEvents();
    void endAttemptSpan(std::string_view result);
    void handleHead();
    void handleComplete();
    void handleFailure(const AttemptFailure &failure);
    void checkTargetStatus(const AttemptFailure &failure);
    void handleTargetStatus(const AttemptFailure &failure, const std::optional<Engine::EngineStatus> &status);
    void retryWithNewGrant();
    void retryAfterDelay(std::function<void(Completion &)> retry);
    [[nodiscard]] bool refuseIfQuarantined();
    void endWithFailure(const AttemptFailure &failure);
    void endWithRefusal(Refusal refusal);
    void finish(Outcome outcome);
    void releaseGrant();
    [[nodiscard]] Core::Duration timeLeft() const;
    // Wraps a task so that it does nothing once this request has ended.
    [[nodiscard]] Core::Scheduler::Task ifStillRunning(std::function<void(Completion &)> task);

    FrontDependencies m_dependencies;
    Core::HostId m_self;
    Core::ZoneId m_zone;
    CompletionRequest m_request;
    std::shared_ptr<CallerResponse> m_response;
    DoneFunction m_done;
    Trace::Span m_span;
    std::optional<Trace::Span> m_attemptSpan;
    Core::TimePoint m_startedAt {};
    Core::TimerId m_deadline = Core::TimerId::None;

    Ticket::ResolvedAdapter m_resolved;
    std::uint64_t m_fingerprint = 0;
    std::deque<RankedOwner> m_candidateOwners;
    Core::HostId m_owner;
    Core::GrantId m_grant;
    GrantState m_grantState = GrantState::None;
    Core::TimePoint m_grantConfirmedAt {}; // When the grant, or its last confirmation, was requested.
    Routing::OwnerWatch::WatchId m_ownerWatch = Routing::OwnerWatch::WatchId::None;
    Owner::GrantReply m_grantReply;
    std::shared_ptr<EngineAttempt> m_attempt;
    StreamAssembly m_assembly;
    AttemptFailure m_lastFailure {.failure = Routing::Failure::NoTarget};
    std::uint32_t m_retries = 0;
    bool m_mayViewBeStale = false; // An owner was unresponsive or owned no suitable target.
    bool m_hasResumedUnderGrant = false;
    bool m_mayHaveRun = false;
    bool m_hasBegunResponse = false;
    bool m_hasEnded = false;
};

}
