#include <LibNet/ServerCallbacks.h>

#include <LibCore/HttpStatus.h>
#include <LibCore/LowerCase.h>
#include <LibNet/HeadLines.h>
#include <LibNet/RequestFraming.h>
#include <algorithm>
#include <charconv>
#include <cstring>

namespace Net {

namespace {

constexpr std::size_t BodyBlockBytes = 16 * 1024;
constexpr unsigned ContentTooLarge = 413;
// How many times the largest body is read and discarded before the response to a request that is refused.
constexpr std::size_t MaxDiscardedBodies = 2;
// In seconds. Other bodies leave the host within about this time.
constexpr const char *RetryAfterNoMemory = "0.5";

struct HeaderCollector {
    ServerRequest &request;
    HeadLines lines;
};

MHD_Result collectHeader(void *context, MHD_ValueKind /*kind*/, const char *name, std::size_t nameSize,
                         const char *value, std::size_t valueSize)
{
    auto &[request, lines] = *static_cast<HeaderCollector *>(context);
    const std::string_view nameView(name, nameSize);
    const std::string_view valueView(value, valueSize);
    lines.add(nameView, valueView);
    request.headers[Core::toLower(nameView)] = valueView;
    request.fields.emplace_back(nameView, valueView);
    return MHD_YES;
}

MHD_Result collectArgument(void *context, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    static_cast<ServerRequest *>(context)->query[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

// The body of a refusal by the server itself.
std::string refusalBody(const std::string &reason)
{
    return R"({"error":{"message":"the request did not run: )" + reason + R"("}})";
}

}

void *ServerCallbacks::onRequestLine(void * /*context*/, const char *target, MHD_Connection * /*connection*/)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->m_request.target = target;
    exchange->m_targetInBuffer = target;
    return new std::shared_ptr<Exchange>(std::move(exchange));
}

MHD_Result ServerCallbacks::onRequest(void *context, MHD_Connection *connection, const char *url, const char *method,
                                      const char *version, const char *data, std::size_t *size, void **state)
{
    auto *server = static_cast<HttpServer *>(context);
    const auto exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
    if (exchange->m_server == nullptr) {
        exchange->m_server = server;
        exchange->m_connection = connection;
        exchange->m_request.method = method;
        exchange->m_request.path = url;
        exchange->m_requestBytes.attach(server->m_options.budget);
        exchange->m_pendingBytes.attach(server->m_options.budget, [&pending = *exchange] {
            pending.closeConnection();
        });
        exchange->m_pendingBytes.setEnd(BufferEnd::Unknown); // A caller may never read its response.
        server->m_openExchanges.insert(exchange);
        return readHead(exchange, method, version);
    }
    if (*size > 0) {
        const auto result = receiveBody(*exchange, {data, *size});
        *size = 0;
        return result;
    }
    return processRequest(*server, exchange);
}

MHD_Result ServerCallbacks::readHead(const std::shared_ptr<Exchange> &exchange, std::string_view method,
                                     std::string_view version)
{
    auto &request = exchange->m_request;
    HeaderCollector collector {.request = request, .lines = HeadLines(method, exchange->m_targetInBuffer, version)};
    MHD_get_connection_values_n(exchange->m_connection, MHD_HEADER_KIND, &collectHeader, &collector);
    MHD_get_connection_values(exchange->m_connection, MHD_GET_ARGUMENT_KIND, &collectArgument, &request);
    const auto error = framingError({.method = method,
                                     .target = request.target,
                                     .version = version,
                                     .fields = request.fields,
                                     .hasPlainLines = collector.lines.arePlain()});
    // libmicrohttpd also accepts a lone LF after the size of a chunk, which doesn't show.
    exchange->m_endsConnection = error.has_value() || isChunked(request.fields);
    if (!error.has_value()) {
        const auto length = request.header("content-length");
        std::size_t bytes = 0;
        std::from_chars(length.data(), length.data() + length.size(), bytes);
        exchange->m_bodyLimit = exchange->m_server->bodyLimit();
        limitBody(*exchange, bytes);
        const bool isTooLarge = exchange->m_refusal == ContentTooLarge;
        return isTooLarge && exchange->m_bodyLimit.isRefusedAtHead ? refuseAtHead(exchange) : MHD_YES;
    }
    ++exchange->m_server->m_ambiguousRequests;
    // The response is queued before any byte of the body is read, so libmicrohttpd reads nothing more.
    exchange->m_isHandled = true;
    exchange->respond({.status = Core::HttpStatus::BadRequest, .headers = {{"Currantbay-Outcome", "not-run"}}},
                      refusalBody(std::string(*error)));
    return queueResponse(exchange);
}

MHD_Result ServerCallbacks::refuseAtHead(const std::shared_ptr<Exchange> &exchange)
{
    exchange->m_isHandled = true;
    exchange->m_endsConnection = true;
    exchange->m_isBodyUnread = true;
    refuse(*exchange);
    return queueResponse(exchange);
}

void ServerCallbacks::limitBody(Exchange &exchange, std::size_t bytes)
{
    const auto &options = exchange.m_server->m_options;
    const auto missing = bytes - std::min(bytes, exchange.m_requestBytes.size());
    if (bytes > exchange.m_bodyLimit.bytes) {
        exchange.m_refusal = ContentTooLarge;
    } else if (options.budget != nullptr && !options.budget->hasRoomForWork(missing)) {
        exchange.m_refusal = Core::HttpStatus::ServiceUnavailable;
    }
}

MHD_Result ServerCallbacks::receiveBody(Exchange &exchange, std::string_view bytes)
{
    const auto size = exchange.m_received.size() + bytes.size();
    if (!exchange.m_refusal.has_value()) {
        limitBody(exchange, size);
    }
    if (!exchange.m_refusal.has_value() && exchange.m_requestBytes.resize(size)) {
        exchange.m_received += bytes;
        return MHD_YES;
    }
    exchange.m_refusal = exchange.m_refusal.value_or(Core::HttpStatus::ServiceUnavailable);
    exchange.m_received = {};
    exchange.m_requestBytes.release();
    // A caller that sends on without reading would otherwise find its connection reset in place of the response.
    exchange.m_discardedBytes += bytes.size();
    return exchange.m_discardedBytes > exchange.m_bodyLimit.bytes * MaxDiscardedBodies ? MHD_NO : MHD_YES;
}

void ServerCallbacks::refuse(Exchange &exchange)
{
    ResponseHead head {.status = *exchange.m_refusal, .headers = {{"Currantbay-Outcome", "not-run"}}};
    if (head.status == ContentTooLarge) {
        exchange.respond(
            std::move(head),
            refusalBody("its body is larger than " + std::to_string(exchange.m_bodyLimit.bytes) + " bytes"));
        return;
    }
    head.headers.emplace_back("Retry-After", RetryAfterNoMemory);
    exchange.respond(std::move(head), refusalBody("this host has no memory left for its body; send it again"));
}

MHD_Result ServerCallbacks::processRequest(HttpServer &server, const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->m_isClosing) {
        return MHD_NO;
    }
    if (!exchange->m_isHandled) {
        exchange->m_isHandled = true;
        if (exchange->m_refusal.has_value()) {
            refuse(*exchange);
        } else {
            exchange->m_request.body = std::move(exchange->m_received);
            server.m_handler(exchange);
            if (exchange->m_isClosing) {
                return MHD_NO;
            }
        }
    }
    if (exchange->m_isResponseQueued) {
        return MHD_YES;
    }
    if (!exchange->m_hasResponse) {
        exchange->m_isSuspended = true;
        MHD_suspend_connection(exchange->m_connection);
        return MHD_YES;
    }
    return queueResponse(exchange);
}

MHD_Result ServerCallbacks::queueResponse(const std::shared_ptr<Exchange> &exchange)
{
    exchange->m_isResponseQueued = true;
    MHD_Response *response = nullptr;
    const auto size = exchange->m_isStreaming ? MHD_SIZE_UNKNOWN : exchange->m_pending.size();
    if (exchange->m_isStreaming || size > BodyBlockBytes) {
        response = MHD_create_response_from_callback(size, BodyBlockBytes, &onReadBody,
                                                     new std::shared_ptr<Exchange>(exchange), &onBodyFreed);
    } else {
        response = MHD_create_response_from_buffer(size, exchange->m_pending.data(), MHD_RESPMEM_MUST_COPY);
    }
    if (!exchange->m_head.contentType.empty()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, exchange->m_head.contentType.c_str());
    }
    for (const auto &[name, value] : exchange->m_head.headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (exchange->m_server->m_isKeepAliveDisabled || exchange->m_endsConnection) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const auto result = MHD_queue_response(exchange->m_connection, exchange->m_head.status, response);
    MHD_destroy_response(response);
    return result;
}

ssize_t ServerCallbacks::onReadBody(void *context, std::uint64_t /*position*/, char *buffer, std::size_t capacity)
{
    auto &exchange = **static_cast<std::shared_ptr<Exchange> *>(context);
    if (exchange.m_isClosing) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto available = exchange.m_pending.size() - exchange.m_pendingOffset;
    if (available == 0) {
        if (exchange.m_bodyState == Exchange::BodyState::Complete) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (exchange.m_bodyState == Exchange::BodyState::Aborted) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        exchange.m_isSuspended = true;
        MHD_suspend_connection(exchange.m_connection);
        return 0;
    }
    const auto count = std::min(available, capacity);
    std::memcpy(buffer, exchange.m_pending.data() + exchange.m_pendingOffset, count);
    exchange.m_pendingOffset += count;
    if (exchange.m_isReaderBehind && available - count <= exchange.m_server->m_options.lowWaterBytes) {
        scheduleCaughtUp(*static_cast<std::shared_ptr<Exchange> *>(context));
    }
    if (exchange.m_pendingOffset == exchange.m_pending.size()) {
        exchange.m_pending.clear();
        exchange.m_pendingOffset = 0;
        exchange.m_pendingBytes.release();
    }
    return static_cast<ssize_t>(count);
}

void ServerCallbacks::scheduleCaughtUp(const std::shared_ptr<Exchange> &exchange)
{
    exchange->m_server->m_loop.post([exchange] {
        exchange->reportCaughtUp();
    });
}

void ServerCallbacks::onBodyFreed(void *context)
{
    delete static_cast<std::shared_ptr<Exchange> *>(context);
}

void ServerCallbacks::onCompleted(void *context, MHD_Connection * /*connection*/, void **state,
                                  MHD_RequestTerminationCode code)
{
    auto *server = static_cast<HttpServer *>(context);
    if (*state == nullptr) {
        return;
    }
    const auto exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
    delete static_cast<std::shared_ptr<Exchange> *>(*state);
    *state = nullptr;
    if (exchange->m_isBodyUnread && code == MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        server->m_lingering.add(exchange->socket());
    }
    exchange->m_connection = nullptr;
    exchange->m_requestBytes.release();
    exchange->m_pendingBytes.attach(nullptr);
    server->m_openExchanges.erase(exchange);
    auto closed = std::move(exchange->m_onClosed);
    exchange->m_onClosed = nullptr;
    exchange->m_onReaderState = nullptr;
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && closed) {
        closed();
    }
}

}
