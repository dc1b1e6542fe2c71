#pragma once

#include <LibNet/EventLoop.h>
#include <LibNet/Exchange.h>
#include <LibNet/LingeringConnections.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

struct MHD_Daemon;

namespace Net {

// The address and limits of an HTTP server.
struct HttpServerOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1U << 20U; // Larger requests get status 413.
    // The limit that operators have set, or zero for none; asked at the head of each request. It replaces maxBodyBytes,
    // and a request whose head names a larger body is refused at once. It can't exceed both maxBodyBytes and what the
    // budget has for requests.
    std::function<std::size_t()> operatorMaxBodyBytes;
    unsigned maxConnections = 1000;
    unsigned idleTimeoutSeconds = 30;
    std::size_t connectionMemory = 32 * 1024; // Bytes for the headers and buffers of one connection.
    std::size_t maxUnsentBytes = 1U << 20U; // Limit on the buffered part of a streamed body.
    // An exchange reports that its caller reads slowly above the first number of unsent bytes of a streamed body, and
    // that it has caught up below the second. A usual event has some hundred bytes.
    std::size_t highWaterBytes = 64 * 1024;
    std::size_t lowWaterBytes = 32 * 1024;
    Core::Duration disconnectCheckPeriod = std::chrono::milliseconds(500);
    BufferBudget *budget = nullptr; // Of the host; null for no limit. Must outlive the server.
};

// Returns options for a server that listens at "host:port". Throws StepError when the text isn't such an address.
[[nodiscard]] HttpServerOptions listenAt(const std::string &address);

// An HTTP server on the event loop, using libmicrohttpd.
class HttpServer
{
public:
    using RequestFunction = std::function<void(std::shared_ptr<Exchange>)>;

    // Starts listening. Throws StepError when the address can't be used.
    HttpServer(EventLoop &loop, HttpServerOptions options, RequestFunction handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // The port on which the server listens, also if the system chose it because the options name port zero.
    [[nodiscard]] std::uint16_t port() const;
    // Closes every connection after its next response, so that callers with persistent connections reconnect to another
    // host.
    void endKeepAlive();
    // Accepts the connections that wait, then closes the listening socket. Accepted connections are still served.
    void stopListening();
    // Returns the number of exchanges whose response hasn't ended.
    [[nodiscard]] std::size_t openExchanges() const;
    // Returns the number of requests that were refused because their limits are ambiguous.
    [[nodiscard]] std::size_t ambiguousRequests() const;
    // The limit on the body of a request that arrives now.
    [[nodiscard]] BodyLimit bodyLimit() const;

private:
    friend class Exchange;
    friend struct ServerCallbacks;

    void scheduleRun();
    void processEvents();
    void closeDisconnectedExchanges();

    EventLoop &m_loop;
    HttpServerOptions m_options;
    RequestFunction m_handler;
    MHD_Daemon *m_daemon = nullptr;
    int m_epollFd = -1;
    bool m_isListening = true;
    bool m_isRunScheduled = false;
    std::unordered_set<std::shared_ptr<Exchange>> m_openExchanges;
    LingeringConnections m_lingering;
    std::size_t m_ambiguousRequests = 0;
    Core::TimerId m_disconnectCheckTimer = Core::TimerId::None;
    bool m_isKeepAliveDisabled = false;
    Core::TimerId m_timer = Core::TimerId::None;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
