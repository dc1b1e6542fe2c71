#include <LibEngine/HttpEngineLink.h>

#include <LibEngine/EngineJson.h>
#include <LibEngine/LineBuffer.h>

namespace Engine {

namespace {

constexpr long StatusOk = 200;
constexpr long StatusConflict = 409;
constexpr long StatusTooEarly = 425;

// One stream's progress while its lines arrive.
struct StreamProgress {
    LineBuffer lines;
    EngineLink::StreamFunction events;
    bool hasStarted = false;
    bool hasEnded = false;
};

void passLine(StreamProgress &progress, std::string_view line)
{
    if (progress.hasEnded || line.empty()) {
        return;
    }
    progress.hasStarted = true;
    try {
        const auto event = eventFromLine(line);
        progress.hasEnded = std::holds_alternative<StreamEnd>(event);
        progress.events(event);
    } catch (const nlohmann::json::exception &error) {
        progress.hasEnded = true;
        progress.events(StreamBroken {.reason = std::string("malformed line: ") + error.what()});
    }
}

StreamEvent describeEnd(const StreamProgress &progress, const Net::HttpResult &result)
{
    if (result.isComplete() && result.status != StatusOk) {
        return StreamRefusal {.status = result.status, .reason = progress.lines.rest()};
    }
    return StreamBroken {.mayHaveRun = progress.hasStarted || result.mayHaveBeenSent,
                         .reason = result.isComplete() ? "ended without an end mark" : result.error};
}

}

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
                    .totalTimeout = m_options.orderTimeout},
                   [done = std::move(done)](const Net::HttpResult &result) {
                       if (!result.isComplete()) {
                           done(result.mayHaveBeenSent ? OrderOutcome::Unknown : OrderOutcome::Failed);
                       } else if (result.status == StatusOk) {
                           done(OrderOutcome::Done);
                       } else if (result.status == StatusConflict) {
                           done(OrderOutcome::StaleFence);
                       } else {
                           done(result.status == StatusTooEarly ? OrderOutcome::Busy : OrderOutcome::Failed);
                       }
                   });
}

void HttpEngineLink::status(const EngineAddress &engine, StatusFunction done)
{
    m_client.start({.url = "http://" + engine.address + "/v1/status", .totalTimeout = m_options.statusTimeout},
                   [done = std::move(done)](const Net::HttpResult &result) {
                       std::optional<EngineStatus> status;
                       if (result.isComplete() && result.status == StatusOk) {
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
         .silenceTimeout = m_options.silenceTimeout},
        [progress](const Net::HttpResult &result) {
            if (!progress->hasEnded) {
                progress->hasEnded = true;
                progress->events(describeEnd(*progress, result));
            }
        },
        [progress](long status, std::string_view bytes) {
            if (status == StatusOk) {
                progress->lines.append(bytes, [&](std::string_view line) {
                    passLine(*progress, line);
                });
            } else {
                progress->lines.append(bytes, [](std::string_view) {});
            }
        });
    return StreamId(static_cast<std::uint64_t>(id));
}

void HttpEngineLink::cancel(StreamId stream)
{
    m_client.cancel(Net::HttpRequestId(static_cast<std::uint64_t>(stream)));
}

}
