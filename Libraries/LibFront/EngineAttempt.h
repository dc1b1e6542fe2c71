#pragma once

#include <LibEngine/EngineLink.h>
#include <LibFront/StreamAssembly.h>
#include <LibRouting/FailureTable.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Front {

// How one attempt ended without a whole answer.
struct AttemptFailure {
    Routing::Failure failure = Routing::Failure::StreamBroken;
    std::string reason; // For people; may be empty.
};

// One try to have one target generate an answer or its rest. Nothing of the stream counts before its head has
// been found to name the attempt, the adapter version and the target's incarnation; whatever comes after the
// attempt has ended is dropped.
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt>
{
public:
    struct Events {
        std::function<void()> onHead; // The head is right.
        std::function<void(const std::string &text)> onText;
        std::function<void()> onWhole;
        std::function<void(const AttemptFailure &failure)> onFailure;
    };

    EngineAttempt(Engine::EngineLink &engines, StreamAssembly &assembly, Events events);

    void start(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request, std::string incarnation);
    // Stops the attempt at both ends; none of its events follows.
    void cancel();

private:
    struct Visitor;

    void takeHead(const Engine::StreamHead &head);
    void takeToken(const Engine::StreamToken &token);
    void takeEnd(const Engine::StreamEnd &end);
    void takeRefusal(const Engine::StreamRefusal &refusal);
    void takeBreak(const Engine::StreamFailure &broken);
    void failBy(StreamFault fault);
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
