#include <LibNet/HttpServer.h>

#include <LibCore/SocketAddress.h>
#include <LibCore/StepError.h>
#include <LibNet/ServerCallbacks.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <unistd.h>

namespace Net {

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
    , m_lingering(loop, {})
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

std::size_t HttpServer::ambiguousRequests() const
{
    return m_ambiguousRequests;
}

BodyLimit HttpServer::bodyLimit() const
{
    const auto ownLimit = m_options.maxBodyBytes;
    const auto operatorLimit = m_options.operatorMaxBodyBytes ? m_options.operatorMaxBodyBytes() : 0;
    if (operatorLimit == 0) {
        return {.bytes = ownLimit};
    }
    const auto possible = m_options.budget == nullptr ? operatorLimit : m_options.budget->maxWork();
    return {.bytes = std::min(operatorLimit, std::max(ownLimit, possible)), .isRefusedAtHead = true};
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
