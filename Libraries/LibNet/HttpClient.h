#pragma once

#include <LibCore/Time.h>
#include <LibNet/EventLoop.h>
#include <LibNet/HttpFields.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Net {

// Which connection carries a request. By default, curl retries a request on a new connection when a reused connection
// is closed before the response. The client prevents this for requests that may have side effects: a request body can't
// be rewound, and a request without a body, other than GET and HEAD, is sent on a new connection.
enum class ConnectionUse {
    // An idle connection may be reused.
    Reuse,
    // A new connection is opened for this request alone, so that a pooled connection that has failed undetected
    // can't delay it.
    Fresh,
};

// Which headers a request carries in addition to those in HttpRequest::headers.
enum class HeaderDefaults {
    // The headers that curl adds by default, such as Accept.
    Added,
    // Only Host and the headers that frame the body.
    Omitted,
};

// One outgoing HTTP request.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::string target; // The path and query exactly as sent; if empty, they are taken from the URL.
    HeaderDefaults headerDefaults = HeaderDefaults::Added;
    std::vector<std::string> headers; // Each in the form "Name: value".
    std::string body;
    Core::Duration connectTimeout = std::chrono::milliseconds(500);
    Core::Duration totalTimeout = {}; // Zero means no limit.
    Core::Duration idleTimeout = {}; // Maximum time without received data; zero means no limit.
    ConnectionUse connectionUse = ConnectionUse::Reuse;
};

// The outcome of an outgoing request.
struct HttpResult {
    long status = 0; // Zero when no complete response arrived.
    std::string contentType; // Empty when the response has no Content-Type.
    HttpFields fields; // All header fields of the response.
    std::string body; // Empty when a data function received the body.
    std::string error; // Empty when the response is complete.
    bool isTimedOut = false; // The connect, total or idle timeout expired.
    bool mayHaveBeenSent = true; // False only when certainly no byte of the request was sent.

    [[nodiscard]] bool isComplete() const
    {
        return error.empty();
    }
    // Describes an unusable result for an error message: the status of a complete response, or the transfer error.
    [[nodiscard]] std::string describeFailure() const
    {
        return isComplete() ? "response status " + std::to_string(status) : error;
    }
};

enum class HttpRequestId : std::uint64_t { None = 0 };

// Sends HTTP requests on the event loop, using curl's multi interface.
class HttpClient
{
public:
    using DataFunction = std::function<void(long status, std::string_view data)>;
    using DoneFunction = std::function<void(HttpResult)>;
    // Called with the status and header fields of the final response, before its body.
    using HeadFunction = std::function<void(long status, const HttpFields &fields)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a request. Unless the request is cancelled, the done function runs exactly once, and never inside this
    // call. If a data function is given, it receives the response body as it arrives and the body isn't stored.
    HttpRequestId start(HttpRequest request, DoneFunction done, DataFunction data = nullptr,
                        HeadFunction head = nullptr);
    // Aborts a request and closes its connection. None of its functions runs afterwards.
    void cancel(HttpRequestId id);

private:
    struct Transfer;
    struct CurlCallbacks;

    static void configure(Transfer &transfer);
    void handleSocketEvents();
    void handleTimeout();
    void finishCompletedTransfers();
    void finish(Transfer &transfer, int curlCode);
    void startIdleTimer(Transfer &transfer);
    void release(Transfer &transfer);

    EventLoop &m_loop;
    void *m_multi = nullptr; // A CURLM; curl's header is not included here.
    int m_epollFd = -1;
    Core::TimerId m_timer = Core::TimerId::None;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_set<std::shared_ptr<Transfer>> m_cancelled; // Kept until their curl handles are released.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
