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

// Where a model engine is reached.
struct EngineAddress {
    Core::TargetId target;
    std::string address; // "host:port".
};

// An order to make an adapter version resident, or to drop it. The fence is the owner's fencing number.
struct AdapterOrder {
    Core::AdapterVersion adapter;
    std::uint64_t fence = 0;
    // The start of the engine that is meant; another one refuses the order. Empty for any.
    std::string incarnation;
};

enum class OrderOutcome {
    Done,
    // The engine knows a higher fencing number; nothing was changed.
    StaleFence,
    // The order names another start of the engine; nothing was changed.
    OtherIncarnation,
    // The engine tried and failed, for example because the weights could not be read.
    Failed,
    // No slot is free, or the adapter is in use.
    Busy,
    // No answer; the order may still take effect.
    Unknown,
};

// One adapter slot of an engine as the engine reports it.
struct ReportedSlot {
    Core::AdapterVersion adapter;
    std::uint32_t runningRequests = 0;
};

// An engine's own report. It lags behind what was dispatched.
struct EngineStatus {
    std::string incarnation; // Changes with every start; a new one means empty slots.
    std::uint32_t slotCount = 0;
    std::uint32_t batchCapacity = 0; // Requests it can run at once.
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    bool isLeaving = false;
    std::vector<ReportedSlot> slots;
};

enum class StreamConnection {
    // A connection that has been used before may serve.
    Any,
    // A connection is opened for this stream, as one that has gone silent must not be met again.
    Fresh,
};

// A request to generate tokens. The offset says how many tokens the caller already has.
struct GenerateRequest {
    Core::AttemptId attempt;
    Core::AdapterVersion adapter;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t offset = 0;
    std::int32_t priority = 0;
    std::int64_t timeoutMilliseconds = 0; // The caller's time that is left; zero is no limit.
    StreamConnection connection = StreamConnection::Any;
    std::string traceparent;
};

// The first line of a stream: who answers, with which adapter.
struct StreamHead {
    Core::AttemptId attempt;
    Core::AdapterVersion adapter;
    std::string incarnation;
};
// One token; indexes count from zero over the whole answer, whatever offset was asked for.
struct StreamToken {
    Core::AttemptId attempt;
    std::uint32_t index = 0;
    std::string text;
};
// The end mark: the answer is whole and has this many tokens.
struct StreamEnd {
    Core::AttemptId attempt;
    std::uint32_t tokenCount = 0;
};
// The engine refused before running anything.
struct StreamRefusal {
    long status = 0;
    std::string reason;
};
// The connection ended without an end mark, or the engine never answered.
struct StreamFailure {
    bool mayHaveRun = true;
    bool isIdleTimeout = false; // Nothing came for too long; the target may well be alive.
    std::string reason;
};
using StreamEvent = std::variant<StreamHead, StreamToken, StreamEnd, StreamRefusal, StreamFailure>;

enum class StreamId : std::uint64_t { None = 0 };

// The orders and streams that a host has with model engines.
class EngineLink
{
public:
    using OrderFunction = std::function<void(OrderOutcome)>;
    using StatusFunction = std::function<void(std::optional<EngineStatus>)>;
    using StreamFunction = std::function<void(const StreamEvent &)>;

    virtual ~EngineLink() = default;
    virtual void load(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done) = 0;
    virtual void unload(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done) = 0;
    // Without a value the engine didn't answer.
    virtual void status(const EngineAddress &engine, StatusFunction done) = 0;
    // Starts a stream. StreamEnd, StreamRefusal or StreamFailure comes last, exactly once, unless cancelled.
    virtual StreamId generate(const EngineAddress &engine, const GenerateRequest &request, StreamFunction events) = 0;
    // Stops a stream at both ends. No event comes afterwards.
    virtual void cancel(StreamId stream) = 0;
};

}
