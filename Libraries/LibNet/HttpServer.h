#pragma once

#include <LibNet/EventLoop.h>
#include <LibNet/HttpFields.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

struct MHD_Daemon;
struct MHD_Connection;

namespace Net {

// A request from a caller (an HTTP client of this server), including its body.
struct ServerRequest {
    std::string method;
    std::string path; // Decoded and without the query.
    std::string target; // The path and query exactly as they were sent.
    HttpFields fields; // All header fields.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;

    // Returns the value of a header, or an empty view. The name must be in lower case.
    [[nodiscard]] std::string_view header(const std::string &name) const;
};

// The status and headers of a response.
struct ResponseHead {
    unsigned status = 200;
    std::string contentType
        = "application/json"; // Empty when `headers` contains Content-Type or the response has none.
    std::vector<std::pair<std::string, std::string>> headers;
};

// A request and its response. The response can be sent at any time after the request has arrived, and only once.
// Calls after the connection has closed have no effect.
class Exchange
{
public:
    using ClosedFunction = std::function<void()>;

    virtual ~Exchange() = default;
    [[nodiscard]] const ServerRequest &request() const;
    // Sends a response with a complete body.
    virtual void respond(ResponseHead head, std::string body);
    // Starts a response whose body is sent in pieces by send().
    virtual void beginStream(ResponseHead head);
    // Sends a piece of the body. If the caller reads so slowly that more than maxUnsentBytes would be buffered, its
    // connection is closed and the closed function runs.
    virtual void send(std::string_view piece);
    // Ends the body normally.
    virtual void endStream();
    // Closes the connection in the middle of the body, so that the caller detects an incomplete response.
    virtual void abortStream();
    // Sets a function that runs if the caller's connection closes before the response has ended.
    virtual void onClosed(ClosedFunction closed);

private:
    friend class HttpServer;
    friend struct ServerCallbacks;
    enum class BodyState { Open, Complete, Aborted };

    void resume();
    // Closes the connection of a caller that has disconnected or reads too slowly.
    void closeConnection();
    // Returns true when the caller has closed its end. libmicrohttpd doesn't detect this while the connection is
    // suspended.
    [[nodiscard]] bool hasCallerDisconnected() const;
    [[nodiscard]] int socket() const;

    class HttpServer *m_server = nullptr;
    MHD_Connection *m_connection = nullptr; // Null when the connection has closed.
    ServerRequest m_request;
    ResponseHead m_head;
    std::string m_pending;
    std::size_t m_pendingOffset = 0;
    BodyState m_bodyState = BodyState::Open;
    bool m_isTooLarge = false;
    bool m_isHandled = false;
    bool m_hasResponse = false;
    bool m_isStreaming = false;
    bool m_isResponseQueued = false;
    bool m_isSuspended = false;
    bool m_isClosing = false;
    ClosedFunction m_onClosed;
};

// The address and limits of an HTTP server.
struct HttpServerOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1U << 20U; // Larger requests get status 413.
    unsigned maxConnections = 1000;
    unsigned idleTimeoutSeconds = 30;
    std::size_t connectionMemory = 32 * 1024; // Bytes for the headers and buffers of one connection.
    std::size_t maxUnsentBytes = 1U << 20U; // Limit on the buffered part of a streamed body.
    Core::Duration disconnectCheckPeriod = std::chrono::milliseconds(500);
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
    Core::TimerId m_disconnectCheckTimer = Core::TimerId::None;
    bool m_isKeepAliveDisabled = false;
    Core::TimerId m_timer = Core::TimerId::None;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
