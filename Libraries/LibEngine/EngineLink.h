#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Engine {

// The network address of a model engine.
struct EngineAddress {
    Core::TargetId target;
    std::string address; // "host:port".
};

// An order to load or unload an adapter version.
struct AdapterOrder {
    Core::AdapterVersion adapter;
    std::uint64_t fence = 0; // The owner's fencing token.
    // The engine incarnation that the order is meant for; any other refuses it. Empty accepts any incarnation.
    std::string incarnation;
    // Whether the owner may still send the order; asked right before that. Unset if it always may.
    std::function<bool()> isPermitted;
};

enum class OrderOutcome {
    Done,
    // The engine knows a higher fencing token; nothing was changed.
    StaleFence,
    // The order was meant for another incarnation of the engine; nothing was changed.
    OtherIncarnation,
    // The engine tried and failed, for example because the weights could not be read.
    Failed,
    // No slot is free, or the adapter is in use.
    Busy,
    // No response arrived; the order may still take effect.
    Unknown,
};

// One adapter slot of an engine, as reported by the engine. A slot holds one adapter.
struct ReportedSlot {
    Core::AdapterVersion adapter;
    std::uint32_t runningRequests = 0;
};

// An engine's own report. It lags behind the requests and orders that were sent.
struct EngineStatus {
    std::string incarnation; // Changes with each start of the engine; a new incarnation begins with empty slots.
    std::uint32_t slotCount = 0;
    std::uint32_t batchCapacity = 0; // Requests that it can run at once.
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    bool isLeaving = false;
    std::vector<ReportedSlot> slots;
};

enum class StreamConnection {
    // An existing connection may be reused.
    Any,
    // A new connection is opened for this stream, so that a stalled connection isn't reused.
    Fresh,
};

// A request to generate tokens.
struct GenerateRequest {
    Core::AttemptId attempt;
    Core::AdapterVersion adapter;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t offset = 0; // Tokens that the caller already has.
    std::int32_t priority = 0;
    std::int64_t timeoutMilliseconds = 0; // The remaining time until the caller's deadline; zero means no limit.
    StreamConnection connection = StreamConnection::Any;
    std::string traceparent;
};

// The first line of a stream, which identifies the responding engine and the adapter that it uses.
struct StreamHead {
    Core::AttemptId attempt;
    Core::AdapterVersion adapter;
    std::string incarnation;
};
// One token. Indexes count from zero over the complete response, regardless of the requested offset.
struct StreamToken {
    Core::AttemptId attempt;
    std::uint32_t index = 0;
    std::string text;
};
// The end marker. The complete response has this many tokens.
struct StreamEnd {
    Core::AttemptId attempt;
    std::uint32_t tokenCount = 0;
};
// The engine refused before running anything.
struct StreamRefusal {
    long status = 0;
    std::string reason;
};
// The connection ended without an end marker, or the engine never responded.
struct StreamFailure {
    bool mayHaveRun = true;
    bool isIdleTimeout = false; // No data arrived within the idle timeout; the target may still be alive.
    std::string reason;
};
using StreamEvent = std::variant<StreamHead, StreamToken, StreamEnd, StreamRefusal, StreamFailure>;

enum class StreamId : std::uint64_t { None = 0 };

// Sends orders and generation requests to model engines.
class EngineLink
{
public:
    using OrderFunction = std::function<void(OrderOutcome)>;
    using StatusFunction = std::function<void(std::optional<EngineStatus>)>;
    using StreamFunction = std::function<void(const StreamEvent &)>;

    virtual ~EngineLink() = default;
    virtual void load(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done) = 0;
    virtual void unload(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done) = 0;
    // The function gets no value when the engine didn't respond.
    virtual void status(const EngineAddress &engine, StatusFunction done) = 0;
    // Starts a stream. Unless it is cancelled, its last event is exactly one StreamEnd, StreamRefusal or StreamFailure.
    virtual StreamId generate(const EngineAddress &engine, const GenerateRequest &request, StreamFunction events) = 0;
    // Stops a stream at both ends. No event follows.
    virtual void cancel(StreamId stream) = 0;
};

}
