#pragma once

#include <LibEngine/EngineLink.h>
#include <LibFront/StreamAssembly.h>
#include <LibRouting/FailureTable.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Front {

// Why an attempt ended without a complete response.
struct AttemptFailure {
    Routing::Failure failure = Routing::Failure::StreamBroken;
    std::string reason; // Human-readable; may be empty.
};

// An attempt: one request to one target to generate a response, or the rest of a partly delivered one. The stream is
// used only after its head has been verified to name the attempt, the adapter version and the target's incarnation.
// Events that arrive after the attempt has ended are dropped.
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt>
{
public:
    struct Events {
        std::function<void()> onHead; // The head has been verified.
        std::function<void(const std::string &text)> onText;
        std::function<void()> onComplete;
        std::function<void(const AttemptFailure &failure)> onFailure;
    };

    EngineAttempt(Engine::EngineLink &engines, StreamAssembly &assembly, Events events);

    void start(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request, std::string incarnation);
    // Stops the attempt here and at the engine. No further event is emitted.
    void cancel();

private:
    struct Visitor;

    void handleHead(const Engine::StreamHead &head);
    void handleToken(const Engine::StreamToken &token);
    void handleEnd(const Engine::StreamEnd &end);
    void handleRefusal(const Engine::StreamRefusal &refusal);
    void handleBroken(const Engine::StreamFailure &broken);
    void failWithFault(StreamFault fault);
    void fail(Routing::Failure failure, std::string reason);

    Engine::EngineLink &m_engines;
    StreamAssembly &m_assembly;
    Events m_events;
    Engine::GenerateRequest m_request;
    std::string m_incarnation;
    Engine::StreamId m_stream = Engine::StreamId::None;
    bool m_hasHead = false;
    bool m_hasEnded = false;
};

}
