#pragma once

#include <LibService/ServiceDependencies.h>
#include <LibService/ServiceRequest.h>
#include <LibService/ServiceResponse.h>
#include <memory>

namespace Service {

// Handles one caller's call to an application service, from its arrival to its response. A call by an idempotent method
// is retried at other targets if a response is lost. Any other call is claimed in the ledger and sent at most once.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using DoneFunction = std::function<void()>;

    // The done function is called once, after the response has been sent to the caller.
    ServiceCall(const ServiceDependencies &dependencies, ServiceRequest request,
                std::shared_ptr<ServiceResponse> response, DoneFunction done);

    void start();
    // Handles a disconnected caller. An idempotent call isn't retried. Any other call continues, and its result is
    // recorded.
    void abandon();

private:
    [[nodiscard]] std::vector<ServiceAddress> rankTargets() const;
    [[nodiscard]] Core::Duration timeLeft() const;
    [[nodiscard]] ServiceMessage message(const Core::AttemptId &attempt, Core::Duration timeout) const;
    void tryNextTarget();
    void sendIdempotent(const ServiceAddress &service);
    void handleIdempotentReply(const ServiceAddress &service, const ServiceReply &reply);
    void claim(const ServiceAddress &service);
    void handleClaim(const ServiceAddress &service, const Ledger::ClaimResult &claim);
    void sendOnce(const ServiceAddress &service, const Core::AttemptId &attempt);
    void handleReply(const ServiceAddress &service, const Core::AttemptId &attempt, const ServiceReply &reply);
    void handleLostResponse(const ServiceAddress &service, const Core::AttemptId &attempt, const ServiceReply &reply);
    void deliver(const Ledger::CallResult &result, ResponseOrigin origin);
    void refuse(const Front::Refusal &refusal);
    void refuseNoTarget();
    void finish(Front::Outcome outcome);
    [[nodiscard]] Ledger::FenceFunction fenceFunction() const;

    ServiceDependencies m_dependencies;
    ServiceRequest m_request;
    std::shared_ptr<ServiceResponse> m_response;
    DoneFunction m_done;
    Ticket::ServiceRouteState m_route;
    CallSemantics m_semantics = CallSemantics::AtMostOnce;
    std::vector<ServiceAddress> m_targets; // Not tried yet, in order of preference.
    std::string m_lastError;
    Trace::Span m_span;
    Core::TimePoint m_startedAt {};
    bool m_isAbandoned = false;
    bool m_hasEnded = false;
};

}
