#pragma once

#include <LibFront/CallerAnswer.h>
#include <LibFront/CompletionRequest.h>
#include <LibFront/FrontPorts.h>
#include <LibFront/StreamAssembly.h>
#include <LibOwner/GrantMessages.h>
#include <functional>
#include <memory>

namespace Front {

// One caller's request from its arrival to the end of its answer: decides the adapter by the tickets in force,
// asks the owner for a grant, and carries the engine's answer to the caller.
class Completion : public std::enable_shared_from_this<Completion>
{
public:
    using DoneFunction = std::function<void()>;

    // The done function runs once, when the request has ended and nothing more will be sent.
    Completion(const FrontPorts &ports, Core::HostId self, Core::ZoneId zone, CompletionRequest request,
               std::shared_ptr<CallerAnswer> answer, DoneFunction done);

    void start();
    // The caller has gone: stops the work at the engine and gives the grant back.
    void abandon();

private:
    struct StreamVisitor;

    void askNextOwner();
    void takeGrant(const Core::HostId &owner, const std::optional<Owner::GrantReply> &reply);
    void startStream();
    void takeHead(const Engine::StreamHead &head);
    void takeToken(const Engine::StreamToken &token);
    void takeEnd(const Engine::StreamEnd &end);
    void takeRefusal(const Engine::StreamRefusal &refusal);
    void takeBreak(const Engine::StreamBroken &broken);
    void refuse(Refusal refusal);
    void finish(Outcome outcome);
    void releaseGrant();
    [[nodiscard]] std::vector<Core::HostId> rankOwners() const;

    FrontPorts m_ports;
    Core::HostId m_self;
    Core::ZoneId m_zone;
    CompletionRequest m_request;
    std::shared_ptr<CallerAnswer> m_answer;
    DoneFunction m_done;
    Trace::Span m_span;
    Core::TimePoint m_startedAt {};

    Ticket::ResolvedAdapter m_resolved;
    std::vector<Core::HostId> m_ownersToAsk;
    std::optional<Core::HostId> m_owner;
    Core::GrantId m_grant;
    Owner::GrantReply m_granted;
    Core::AttemptId m_attempt;
    Engine::StreamId m_stream = Engine::StreamId::None;
    StreamAssembly m_assembly;
    bool m_hasBegun = false;
    bool m_hasEnded = false;
};

}
