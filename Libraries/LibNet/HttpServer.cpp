#include <LibNet/HttpServer.h>

#include <LibCore/LowerCase.h>
#include <LibCore/SocketAddress.h>
#include <LibCore/StepError.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Net {

namespace {

constexpr std::size_t StreamBlockBytes = 16 * 1024;

MHD_Result collectValue(void *context, MHD_ValueKind kind, const char *name, const char *value)
{
    auto &request = *static_cast<ServerRequest *>(context);
    if (kind == MHD_HEADER_KIND) {
        request.headers[Core::toLower(name)] = value == nullptr ? "" : value;
        request.fields.emplace_back(name, value == nullptr ? "" : value);
    } else {
        request.query[name] = value == nullptr ? "" : value;
    }
    return MHD_YES;
}

}

// libmicrohttpd's C callbacks.
struct ServerCallbacks {
    // Called before a request's headers are read. The returned pointer is passed as state to the request's other
    // callbacks.
    static void *onRequestLine(void * /*context*/, const char *target, MHD_Connection * /*connection*/)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->m_request.target = target;
        return new std::shared_ptr<Exchange>(std::move(exchange));
    }

    static MHD_Result onRequest(void *context, MHD_Connection *connection, const char *url, const char *method,
                                const char * /*version*/, const char *data, std::size_t *size, void **state)
    {
        auto *server = static_cast<HttpServer *>(context);
        const auto exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
        if (exchange->m_server == nullptr) {
            exchange->m_server = server;
            exchange->m_connection = connection;
            exchange->m_request.method = method;
            exchange->m_request.path = url;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectValue, &exchange->m_request);
            MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectValue, &exchange->m_request);
            server->m_openExchanges.insert(exchange);
            return MHD_YES;
        }
        if (*size > 0) {
            if (exchange->m_request.body.size() + *size > server->m_options.maxBodyBytes) {
                exchange->m_isTooLarge = true;
            } else if (!exchange->m_isTooLarge) {
                exchange->m_request.body.append(data, *size);
            }
            *size = 0;
            return MHD_YES;
        }
        return processRequest(*server, exchange);
    }

    static MHD_Result processRequest(HttpServer &server, const std::shared_ptr<Exchange> &exchange)
    {
        if (exchange->m_isClosing) {
            return MHD_NO;
        }
        if (!exchange->m_isHandled) {
            exchange->m_isHandled = true;
            if (exchange->m_isTooLarge) {
                exchange->respond({.status = 413, .headers = {{"Currantbay-Outcome", "not-run"}}},
                                  R"({"error":{"message":"the request body is larger than )"
                                      + std::to_string(server.m_options.maxBodyBytes)
                                      + R"( bytes; it did not run; send a smaller one"}})");
            } else {
                server.m_handler(exchange);
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

    static MHD_Result queueResponse(const std::shared_ptr<Exchange> &exchange)
    {
        exchange->m_isResponseQueued = true;
        MHD_Response *response = nullptr;
        if (exchange->m_isStreaming) {
            response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &onReadBody,
                                                         new std::shared_ptr<Exchange>(exchange), &onBodyFreed);
        } else {
            response = MHD_create_response_from_buffer(exchange->m_pending.size(), exchange->m_pending.data(),
                                                       MHD_RESPMEM_MUST_COPY);
        }
        if (!exchange->m_head.contentType.empty()) {
            MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, exchange->m_head.contentType.c_str());
        }
        for (const auto &[name, value] : exchange->m_head.headers) {
            MHD_add_response_header(response, name.c_str(), value.c_str());
        }
        if (exchange->m_server->m_isKeepAliveDisabled) {
            MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
        }
        const auto result = MHD_queue_response(exchange->m_connection, exchange->m_head.status, response);
        MHD_destroy_response(response);
        return result;
    }

    static ssize_t onReadBody(void *context, std::uint64_t /*position*/, char *buffer, std::size_t capacity)
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
        if (exchange.m_pendingOffset == exchange.m_pending.size()) {
            exchange.m_pending.clear();
            exchange.m_pendingOffset = 0;
        }
        return static_cast<ssize_t>(count);
    }

    static void onBodyFreed(void *context)
    {
        delete static_cast<std::shared_ptr<Exchange> *>(context);
    }

    static void onCompleted(void *context, MHD_Connection * /*connection*/, void **state,
                            MHD_RequestTerminationCode code)
    {
        auto *server = static_cast<HttpServer *>(context);
        if (*state == nullptr) {
            return;
        }
        const auto exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
        delete static_cast<std::shared_ptr<Exchange> *>(*state);
        *state = nullptr;
        exchange->m_connection = nullptr;
        server->m_openExchanges.erase(exchange);
        auto closed = std::move(exchange->m_onClosed);
        exchange->m_onClosed = nullptr;
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && closed) {
            closed();
        }
    }
};

std::string_view ServerRequest::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

const ServerRequest &Exchange::request() const
{
    return m_request;
}

void Exchange::respond(ResponseHead head, std::string body)
{
    if (m_connection == nullptr || m_hasResponse) {
        return;
    }
    m_head = std::move(head);
    m_pending = std::move(body);
    m_hasResponse = true;
    resume();
}

void Exchange::beginStream(ResponseHead head)
{
    if (m_connection == nullptr || m_hasResponse) {
        return;
    }
    m_head = std::move(head);
    m_hasResponse = true;
    m_isStreaming = true;
    resume();
}

void Exchange::send(std::string_view piece)
{
    if (m_connection == nullptr || m_isClosing) {
        return;
    }
    if (m_pending.size() - m_pendingOffset + piece.size() > m_server->m_options.maxUnsentBytes) {
        closeConnection();
        return;
    }
    // Frees the part of the buffer that has been sent before it becomes larger than the unsent part.
    if (m_pendingOffset > StreamBlockBytes && m_pendingOffset > m_pending.size() / 2) {
        m_pending.erase(0, m_pendingOffset);
        m_pendingOffset = 0;
    }
    m_pending += piece;
    resume();
}

void Exchange::endStream()
{
    m_bodyState = BodyState::Complete;
    resume();
}

void Exchange::abortStream()
{
    m_bodyState = BodyState::Aborted;
    resume();
}

void Exchange::onClosed(ClosedFunction closed)
{
    m_onClosed = std::move(closed);
}

void Exchange::resume()
{
    if (m_connection == nullptr || !m_isSuspended) {
        return;
    }
    m_isSuspended = false;
    MHD_resume_connection(m_connection);
    m_server->scheduleRun();
}

void Exchange::closeConnection()
{
    m_isClosing = true;
    m_pending.clear();
    m_pendingOffset = 0;
    // A connection that blocks on writing isn't suspended, so resume() has no effect on it. Shutting down its socket
    // makes libmicrohttpd detect the end of the connection.
    shutdown(socket(), SHUT_RDWR);
    resume();
}

bool Exchange::hasCallerDisconnected() const
{
    char next = 0;
    const auto count = recv(socket(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

int Exchange::socket() const
{
    return MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

HttpServerOptions listenAt(const std::string &address)
{
    auto parsed = Core::parseSocketAddress(address);
    if (!parsed.has_value()) {
        throw Core::StepError("listen for HTTP", address, "not an IPv4 address and port");
    }
    return {.address = std::move(parsed->host), .port = parsed->port};
}

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options, RequestFunction handler)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    const auto listenAddress = m_options.address + ":" + std::to_string(m_options.port);
    if (inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr) != 1) {
        throw Core::StepError("listen for HTTP", listenAddress, "not an IPv4 address");
    }
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, m_options.port, nullptr, nullptr, &ServerCallbacks::onRequest, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&address), MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_URI_LOG_CALLBACK, &ServerCallbacks::onRequestLine, this, MHD_OPTION_NOTIFY_COMPLETED,
        &ServerCallbacks::onCompleted, this, MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_options.connectionMemory,
        MHD_OPTION_CONNECTION_LIMIT, m_options.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
        m_options.idleTimeoutSeconds, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        throw Core::StepError("listen for HTTP", listenAddress, std::strerror(errno));
    }
    m_epollFd = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_loop.watchReadable(m_epollFd, [this] {
        processEvents();
    });
    closeDisconnectedExchanges();
}

HttpServer::~HttpServer()
{
    *m_isAlive = false;
    m_loop.cancel(m_timer);
    m_loop.cancel(m_disconnectCheckTimer);
    m_loop.unwatch(m_epollFd);
    // libmicrohttpd aborts the process when it is stopped while connections are suspended.
    for (const auto &exchange : m_openExchanges) {
        exchange->m_isClosing = true;
        exchange->resume();
    }
    MHD_stop_daemon(m_daemon);
}

std::uint16_t HttpServer::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void HttpServer::endKeepAlive()
{
    m_isKeepAliveDisabled = true;
}

void HttpServer::stopListening()
{
    if (m_isListening) {
        // Connections that wait to be accepted would be reset when the socket closes.
        processEvents();
        m_isListening = false;
        close(MHD_quiesce_daemon(m_daemon));
    }
}

std::size_t HttpServer::openExchanges() const
{
    return m_openExchanges.size();
}

void HttpServer::closeDisconnectedExchanges()
{
    // Iterates over a copy, because closing a connection may remove its exchange from the set.
    const auto open = m_openExchanges;
    for (const auto &exchange : open) {
        if (exchange->m_isSuspended && !exchange->m_isClosing && exchange->hasCallerDisconnected()) {
            exchange->closeConnection();
        }
    }
    m_disconnectCheckTimer = m_loop.runAfter(m_options.disconnectCheckPeriod, [this] {
        closeDisconnectedExchanges();
    });
}

void HttpServer::scheduleRun()
{
    if (m_isRunScheduled) {
        return;
    }
    m_isRunScheduled = true;
    m_loop.post([this, isAlive = m_isAlive] {
        if (*isAlive) {
            m_isRunScheduled = false;
            processEvents();
        }
    });
}

void HttpServer::processEvents()
{
    // After a connection is resumed, MHD_run has work left for as long as MHD_get_timeout reports zero.
    MHD_UNSIGNED_LONG_LONG timeoutMilliseconds = 0;
    bool hasTimeout = false;
    do {
        MHD_run(m_daemon);
        hasTimeout = MHD_get_timeout(m_daemon, &timeoutMilliseconds) == MHD_YES;
    } while (hasTimeout && timeoutMilliseconds == 0);
    m_loop.cancel(m_timer);
    m_timer = Core::TimerId::None;
    if (hasTimeout) {
        m_timer = m_loop.runAfter(std::chrono::milliseconds(timeoutMilliseconds), [this] {
            processEvents();
        });
    }
}

}
