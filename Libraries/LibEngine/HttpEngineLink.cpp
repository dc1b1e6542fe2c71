#include <LibEngine/HttpEngineLink.h>

#include <LibCore/HttpStatus.h>
#include <LibEngine/EngineJson.h>
#include <LibEngine/LineBuffer.h>

namespace Engine {

namespace {

StreamEvent parseLine(std::string_view line)
{
    try {
        return eventFromLine(line);
    } catch (const nlohmann::json::exception &error) {
        return StreamFailure {.reason = std::string("malformed line: ") + error.what()};
    }
}

std::string reasonFor(const Net::HttpResult &result)
{
    const bool isEnded = result.isComplete() && result.status == Core::HttpStatus::Ok;
    return isEnded ? "stream ended without an end marker" : result.describeFailure();
}

bool isLast(const StreamEvent &event)
{
    return std::holds_alternative<StreamEnd>(event) || std::holds_alternative<StreamFailure>(event);
}

}

// The state of one stream while its lines arrive.
struct HttpEngineLink::StreamProgress {
    Net::HttpRequestId request = Net::HttpRequestId::None;
    LineBuffer lines;
    StreamFunction events;
    bool hasStarted = false;
    bool hasEnded = false; // No further events are emitted.

    void emitEvent(const StreamEvent &event)
    {
        if (!hasEnded) {
            hasEnded = isLast(event) || std::holds_alternative<StreamRefusal>(event);
            events(event);
        }
    }

    // Returns whether the bytes completed an event.
    bool handleBytes(long status, std::string_view bytes)
    {
        bool hasEvent = false;
        const bool isWithinLimit = lines.append(bytes, [&](std::string_view line) {
            if (status == Core::HttpStatus::Ok && !line.empty() && !hasEnded) {
                hasStarted = true;
                hasEvent = true;
                emitEvent(parseLine(line));
            }
        });
        if (!isWithinLimit) {
            emitEvent(StreamFailure {.reason = "line is too long"});
        }
        return hasEvent;
    }

    void handleResult(const Net::HttpResult &result)
    {
        // A refusal doesn't name its stream, and on a reused connection it may be the copy of an earlier one.
        const bool isRefusal = result.isComplete() && result.status != Core::HttpStatus::Ok;
        if (isRefusal && !result.isConnectionReused) {
            emitEvent(StreamRefusal {.status = result.status, .reason = lines.rest()});
            return;
        }
        emitEvent(StreamFailure {.mayHaveRun = hasStarted || result.mayHaveBeenSent,
                                 .isIdleTimeout = result.isTimedOut,
                                 .reason = reasonFor(result)});
    }
};

HttpEngineLink::HttpEngineLink(Net::HttpClient &client, HttpEngineLinkOptions options)
    : m_client(client)
    , m_options(options)
{
}

void HttpEngineLink::load(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done)
{
    sendOrder(engine, "/v1/adapters/load", order, std::move(done));
}

void HttpEngineLink::unload(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done)
{
    sendOrder(engine, "/v1/adapters/unload", order, std::move(done));
}

void HttpEngineLink::sendOrder(const EngineAddress &engine, const char *path, const AdapterOrder &order,
                               OrderFunction done)
{
    m_client.start({.method = "POST",
                    .url = "http://" + engine.address + path,
                    .headers = {"Content-Type: application/json"},
                    .body = toJson(order).dump(),
                    .totalTimeout = m_options.orderTimeout,
                    .isStillPermitted = order.isPermitted,
                    .maxBodyBytes = Net::SmallMaxBodyBytes},
                   [done = std::move(done)](const Net::HttpResult &result) {
                       if (!result.isComplete()) {
                           done(result.mayHaveBeenSent ? OrderOutcome::Unknown : OrderOutcome::Failed);
                       } else if (result.status == Core::HttpStatus::Ok) {
                           done(OrderOutcome::Done);
                       } else if (result.status == Core::HttpStatus::Conflict) {
                           done(OrderOutcome::StaleFence);
                       } else if (result.status == Core::HttpStatus::MisdirectedRequest) {
                           done(OrderOutcome::OtherIncarnation);
                       } else {
                           done(result.status == Core::HttpStatus::TooEarly ? OrderOutcome::Busy
                                                                            : OrderOutcome::Failed);
                       }
                   });
}

void HttpEngineLink::status(const EngineAddress &engine, StatusFunction done)
{
    m_client.start({.url = "http://" + engine.address + "/v1/status", .totalTimeout = m_options.statusTimeout},
                   [done = std::move(done)](const Net::HttpResult &result) {
                       std::optional<EngineStatus> status;
                       if (result.isComplete() && result.status == Core::HttpStatus::Ok) {
                           try {
                               status = statusFromJson(nlohmann::json::parse(result.body));
                           } catch (const nlohmann::json::exception &) {
                               status.reset();
                           }
                       }
                       done(std::move(status));
                   });
}

StreamId HttpEngineLink::generate(const EngineAddress &engine, const GenerateRequest &request, StreamFunction events)
{
    auto progress = std::make_shared<StreamProgress>();
    progress->events = std::move(events);
    const auto id = m_client.start(
        {.method = "POST",
         .url = "http://" + engine.address + "/v1/generate",
         .headers = {"Content-Type: application/json", "traceparent: " + request.traceparent},
         .body = toJson(request).dump(),
         .idleTimeout = m_options.idleTimeout,
         .idleProgress = Net::IdleProgress::Recorded,
         .connectionUse
         = request.connection == StreamConnection::Fresh ? Net::ConnectionUse::Fresh : Net::ConnectionUse::Reuse},
        [this, progress, number = m_lastStream + 1](const Net::HttpResult &result) {
            m_streams.erase(number);
            progress->handleResult(result);
        },
        [this, progress](long status, std::string_view bytes) {
            if (progress->handleBytes(status, bytes)) {
                m_client.recordProgress(progress->request);
            }
        });
    progress->request = id;
    m_streams.emplace(++m_lastStream, RunningStream {.request = id, .progress = progress});
    return StreamId(m_lastStream);
}

void HttpEngineLink::cancel(StreamId stream)
{
    const auto found = m_streams.find(static_cast<std::uint64_t>(stream));
    if (found == m_streams.end()) {
        return;
    }
    const auto running = found->second;
    m_streams.erase(found);
    // The data being processed may contain further lines, which must not be emitted.
    running.progress->hasEnded = true;
    m_client.cancel(running.request);
}

}
