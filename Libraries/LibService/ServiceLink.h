#pragma once

#include <LibCore/Time.h>
#include <LibLedger/FenceVerdict.h>
#include <functional>
#include <string>
#include <vector>

namespace Service {

// The address of one replica of an application service.
struct ServiceAddress {
    Core::TargetId target;
    std::string address; // "host:port".
};

// How often a call may run.
enum class CallSemantics {
    // The call may be sent again if its response is lost.
    Idempotent,
    // The call is sent only once, on a new connection.
    AtMostOnce,
};

// One attempt of a call, as it is sent to a service.
struct ServiceMessage {
    std::string method;
    std::string path; // Percent-encoded, with the query.
    std::string contentType;
    std::string body;
    std::string key; // The caller's Idempotency-Key, or empty.
    Core::AttemptId attempt;
    std::string traceparent;
    CallSemantics semantics = CallSemantics::AtMostOnce;
    Core::Duration timeout {};
};

// The outcome of one attempt.
struct ServiceReply {
    enum class State {
        // The service responded, and the result is complete.
        Responded,
        // The service refused the attempt because it had been fenced. It did not run.
        Fenced,
        // No byte of the call was sent by this host.
        NotSent,
        // The call may have run, partly or completely.
        Lost,
    };

    State state = State::Lost;
    Ledger::CallResult result;
    std::string error; // Why there is no result.
};

// Sends calls to application services.
class ServiceLink
{
public:
    using ReplyFunction = std::function<void(const ServiceReply &)>;
    using FenceDoneFunction = std::function<void(const Ledger::FenceVerdict &)>;

    virtual ~ServiceLink() = default;
    // Done functions are called exactly once, and never before the call that takes them returns.
    virtual void send(const ServiceAddress &service, const ServiceMessage &message, ReplyFunction done) = 0;
    // Tells the service to refuse the attempt from now on, and asks whether it has run already.
    virtual void fence(const ServiceAddress &service, const std::string &fencePath, const Core::AttemptId &attempt,
                       FenceDoneFunction done)
        = 0;
};

}
