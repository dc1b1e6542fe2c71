#pragma once

#include <LibCore/Time.h>
#include <LibLedger/FenceVerdict.h>
#include <functional>
#include <string>
#include <vector>

namespace Service {

// Where one replica of an application service is reached.
struct ServiceAddress {
    Core::TargetId target;
    std::string address; // "host:port".
};

enum class CallSemantics {
    // The call may be sent again when its answer is lost.
    Idempotent,
    // The call is sent once, on a connection opened for it.
    AtMostOnce,
};

// One try of a call as it goes to a service.
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

// How one try ended.
struct ServiceReply {
    enum class State {
        // The service answered; the result is complete.
        Responded,
        // The service refused the attempt because it had been fenced; it did not run.
        Fenced,
        // Surely no byte of the call left this host.
        NotSent,
        // The call may have run, in part or whole.
        Lost,
    };

    State state = State::Lost;
    Ledger::CallResult result;
    std::string error; // Why there is no answer.
};

// Calls plain application services.
class ServiceLink
{
public:
    using ReplyFunction = std::function<void(const ServiceReply &)>;
    using FenceDoneFunction = std::function<void(const Ledger::FenceVerdict &)>;

    virtual ~ServiceLink() = default;
    // Each function runs exactly once, never inside the call.
    virtual void send(const ServiceAddress &service, const ServiceMessage &message, ReplyFunction done) = 0;
    // Asks the service to refuse the attempt from now on, and whether it has run already.
    virtual void fence(const ServiceAddress &service, const std::string &fencePath, const Core::AttemptId &attempt,
                       FenceDoneFunction done)
        = 0;
};

}
