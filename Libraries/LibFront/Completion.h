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

// One caller's request from its arrival to the end of its answer: decides the adapter by the tickets in force,
// asks owners for a grant, carries the engine's answer to the caller, and resumes a broken answer at the same
// target or under a new grant as long as the failure's rule, the retry budget and the caller's time allow.
class Completion : public std::enable_shared_from_this<Completion>
{
public:
    using DoneFunction = std::function<void()>;

    // The done function runs once, when the request has ended and nothing more will be sent.
    Completion(const FrontDependencies &ports, Core::HostId self, Core::ZoneId zone, CompletionRequest request,
               std::shared_ptr<CallerResponse> answer, DoneFunction done);

    void start();
    // The caller has gone: stops the work at the engine and gives the grant back.
    void abandon();

private:
    struct RankedOwner {
        Core::HostId owner;
        bool isOfOwnZone = true;
    };
    enum class GrantState {
        None,
        Asked,
        // Nothing runs under it.
        Held,
        // An attempt under it was begun and may still run.
        InUse,
    };

    void rankOwners();
    [[nodiscard]] std::vector<Core::TargetId> rankTargetsOf(const Core::ZoneId &zone) const;
    void addOwnerOf(const Core::TargetId &target);
    void askNextOwner();
    void sendGrantRequest();
    void takeGrant(const Owner::GrantReply &reply);
    void takeOwnerSilence();
    void askOwnersAnew();
    void startAttempt(Engine::StreamConnection connection);
    [[nodiscard]] EngineAttempt::Events attemptEvents();
    void endAttemptSpan(std::string_view result);
    void takeHead();
    void takeWhole();
    void takeFailure(const AttemptFailure &failure);
    void examineTarget(const AttemptFailure &failure);
    void takeExamined(const AttemptFailure &failure, const std::optional<Engine::EngineStatus> &status);
    void retryElsewhere();
    void retryAfterPause(std::function<void(Completion &)> retry);
    [[nodiscard]] bool isQuarantined();
    void giveUp(const AttemptFailure &failure);
    void end(Refusal refusal);
    void finish(Outcome outcome);
    void leaveGrant();
    [[nodiscard]] Core::Duration timeLeft() const;
    // A task that runs only while this request hasn't ended.
    [[nodiscard]] Core::Scheduler::Task whileRunning(std::function<void(Completion &)> task);

    FrontDependencies m_ports;
    Core::HostId m_self;
    Core::ZoneId m_zone;
    CompletionRequest m_request;
    std::shared_ptr<CallerResponse> m_answer;
    DoneFunction m_done;
    Trace::Span m_span;
    std::optional<Trace::Span> m_attemptSpan;
    Core::TimePoint m_startedAt {};
    Core::TimerId m_deadline = Core::TimerId::None;

    Ticket::ResolvedAdapter m_resolved;
    std::uint64_t m_fingerprint = 0;
    std::deque<RankedOwner> m_ownersToAsk;
    Core::HostId m_owner;
    Core::GrantId m_grant;
    GrantState m_grantState = GrantState::None;
    Routing::OwnerWatch::WatchId m_watch = Routing::OwnerWatch::WatchId::None;
    Owner::GrantReply m_granted;
    std::shared_ptr<EngineAttempt> m_attempt;
    StreamAssembly m_assembly;
    AttemptFailure m_lastFailure {.failure = Routing::Failure::NoTarget};
    std::uint32_t m_retries = 0;
    bool m_isViewDoubtful = false; // An owner of the current round was silent, or denied that it is one.
    bool m_hasResumedHere = false; // Under the current grant.
    bool m_mayHaveRun = false;
    bool m_hasBegun = false;
    bool m_hasEnded = false;
};

}
