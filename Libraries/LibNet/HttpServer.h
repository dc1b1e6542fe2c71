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

// One request from a caller, complete with its body.
struct ServerRequest {
    std::string method;
    std::string path; // Decoded and without the query.
    std::string target; // The path and query exactly as they were sent.
    HttpFields fields; // Every header line.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;

    // The value of a header, or an empty view. The name is given in lower case.
    [[nodiscard]] std::string_view header(const std::string &name) const;
};

// The head of an answer.
struct ResponseHead {
    unsigned status = 200;
    std::string contentType = "application/json"; // Empty when the headers name it or there is none.
    std::vector<std::pair<std::string, std::string>> headers;
};

// One caller's exchange with the server: answered once, at any time after the request arrived.
// Calls after the connection has closed do nothing.
class Exchange
{
public:
    using ClosedFunction = std::function<void()>;

    [[nodiscard]] const ServerRequest &request() const;
    // Answers with a complete body.
    void respond(ResponseHead head, std::string body);
    // Begins an answer whose body follows in pieces.
    void beginStream(ResponseHead head);
    // Sends a piece of the body. A caller that doesn't read until maxUnsentBytes bytes wait is cut off: its
    // connection is closed and the closed function runs.
    void send(std::string_view piece);
    // Ends the body as whole.
    void endStream();
    // Closes the connection in mid-body, so that the caller sees that the answer is cut.
    void abortStream();
    // Runs the function should the caller's connection close before the answer has ended.
    void onClosed(ClosedFunction closed);

private:
    friend class HttpServer;
    friend struct ServerCallbacks;
    enum class BodyEnd { Open, Whole, Cut };

    void wake();
    // Closes a connection whose caller has gone or doesn't read.
    void drop();
    // True when the caller has closed its end, which nothing else notices while the exchange is suspended.
    [[nodiscard]] bool hasCallerGone() const;
    [[nodiscard]] int socket() const;

    class HttpServer *m_server = nullptr;
    MHD_Connection *m_connection = nullptr; // Null when the connection has closed.
    ServerRequest m_request;
    ResponseHead m_head;
    std::string m_pending;
    std::size_t m_pendingOffset = 0;
    BodyEnd m_end = BodyEnd::Open;
    bool m_isTooLarge = false;
    bool m_isHandled = false;
    bool m_isAnswered = false;
    bool m_isStreamed = false;
    bool m_isQueued = false;
    bool m_isSuspended = false;
    bool m_isDropped = false;
    ClosedFunction m_closed;
};

// Limits on what callers may send.
struct HttpServerOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1U << 20U; // Bytes.
    unsigned maxConnections = 1000;
    unsigned idleTimeoutSeconds = 30;
    std::size_t connectionMemory = 32 * 1024; // Bytes for one connection's header and buffers.
    std::size_t maxUnsentBytes = 1U << 20U; // Bytes that one caller's stream may have waiting.
    Core::Duration disconnectCheckPeriod = std::chrono::milliseconds(500);
};

// The options of a server that listens at "host:port". Throws StepError when the text isn't such an address.
[[nodiscard]] HttpServerOptions listenAt(const std::string &address);

// Serves HTTP from the event loop, by libmicrohttpd.
class HttpServer
{
public:
    using RequestFunction = std::function<void(std::shared_ptr<Exchange>)>;

    // Listens at once. Throws StepError when the address can't be used.
    HttpServer(EventLoop &loop, HttpServerOptions options, RequestFunction handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Lets every connection end after its next answer, so that kept-alive ones move to another host.
    void endKeepAlive();
    // Stops accepting connections; exchanges that have begun go on.
    void stopListening();
    // Exchanges whose answer hasn't ended.
    [[nodiscard]] std::size_t openExchanges() const;

private:
    friend class Exchange;
    friend struct ServerCallbacks;

    void scheduleRun();
    void serve();
    void dropGoneCallers();

    EventLoop &m_loop;
    HttpServerOptions m_options;
    RequestFunction m_handler;
    MHD_Daemon *m_daemon = nullptr;
    int m_epollFd = -1;
    int m_listenFd = -1;
    bool m_isRunScheduled = false;
    std::unordered_set<std::shared_ptr<Exchange>> m_openExchanges;
    Core::TimerId m_goneTimer = Core::TimerId::None;
    bool m_isKeepAliveEnded = false;
    Core::TimerId m_timer = Core::TimerId::None;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
