#pragma once

#include <LibService/ServiceDependencies.h>
#include <LibService/ServiceRequest.h>
#include <LibService/ServiceResponse.h>
#include <memory>

namespace Service {

// One caller's call to a plain service, from its arrival to its answer. A call by an idempotent method is tried
// at further targets when an answer is lost; any other is claimed in the ledger and sent once.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using DoneFunction = std::function<void()>;

    // The done function runs once, when the caller has its answer.
    ServiceCall(const ServiceDependencies &ports, ServiceRequest request, std::shared_ptr<ServiceResponse> answer,
                DoneFunction done);

    void start();
    // The caller has gone. An idempotent call isn't tried again; any other goes on, and its result is recorded.
    void abandon();

private:
    [[nodiscard]] std::vector<ServiceAddress> rankTargets() const;
    [[nodiscard]] Core::Duration timeLeft() const;
    [[nodiscard]] ServiceMessage message(const Core::AttemptId &attempt, Core::Duration timeout) const;
    void tryNext();
    void sendIdempotent(const ServiceAddress &service);
    void takeIdempotentReply(const ServiceAddress &service, const ServiceReply &reply);
    void claim(const ServiceAddress &service);
    void takeClaim(const ServiceAddress &service, const Ledger::ClaimResult &claim);
    void sendOnce(const ServiceAddress &service, const Core::AttemptId &attempt);
    void takeReply(const ServiceAddress &service, const Core::AttemptId &attempt, const ServiceReply &reply);
    void takeLostAnswer(const ServiceAddress &service, const Core::AttemptId &attempt, const ServiceReply &reply);
    void deliver(const Ledger::CallResult &result, ResponseOrigin origin);
    void refuse(const Front::Refusal &refusal);
    void refuseNoTarget();
    void finish(Front::Outcome outcome);
    [[nodiscard]] Ledger::FenceFunction fenceFunction() const;

    ServiceDependencies m_ports;
    ServiceRequest m_request;
    std::shared_ptr<ServiceResponse> m_answer;
    DoneFunction m_done;
    Ticket::ServiceRouteState m_route;
    CallSemantics m_semantics = CallSemantics::AtMostOnce;
    std::vector<ServiceAddress> m_targets; // Not tried yet, best first.
    std::string m_lastError;
    Trace::Span m_span;
    Core::TimePoint m_startedAt {};
    bool m_isAbandoned = false;
    bool m_hasEnded = false;
};

}
