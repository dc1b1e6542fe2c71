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

// Which connection carries a request. curl by itself sends a request again on a new connection when a reused one is
// closed before the answer. The client prevents that for every request that may change something: its body can't be
// rewound, and without a body it gets a connection of its own.
enum class ConnectionUse {
    // An idle connection may be used again.
    Reuse,
    // A connection is opened for this request alone, so that one that died in silence costs nothing.
    Fresh,
};

// Which headers a request carries beside those that are given.
enum class HeaderDefaults {
    // Those that curl adds by itself, such as Accept.
    Added,
    // Only Host and those that frame the body.
    Omitted,
};

// One outgoing HTTP request.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::string target; // The path and query exactly as they are to be sent; empty for those of the URL.
    HeaderDefaults headerDefaults = HeaderDefaults::Added;
    std::vector<std::string> headers; // Each in the form "Name: value".
    std::string body;
    Core::Duration connectTimeout = std::chrono::milliseconds(500);
    Core::Duration totalTimeout = {}; // Zero is no limit.
    Core::Duration idleTimeout = {}; // Longest wait between two pieces of the answer; zero is no limit.
    ConnectionUse connectionUse = ConnectionUse::Reuse;
};

// How an outgoing request ended.
struct HttpResult {
    long status = 0; // Zero when no complete answer arrived.
    std::string contentType; // Empty when the answer names none.
    HttpFields fields; // Every header line of the answer.
    std::string body; // Empty when a data function took the pieces.
    std::string error; // Empty when the answer is complete.
    bool isTimedOut = false; // A time limit ended it, or silence did.
    bool mayHaveBeenSent = true; // False only when surely no byte of the request left.

    [[nodiscard]] bool isComplete() const
    {
        return error.empty();
    }
    // Why the result can't be used, for an error's text: the status of a complete answer, or how it failed.
    [[nodiscard]] std::string describeFailure() const
    {
        return isComplete() ? "answered with status " + std::to_string(status) : error;
    }
};

enum class HttpRequestId : std::uint64_t { None = 0 };

// Sends HTTP requests from the event loop, by curl's multi interface.
class HttpClient
{
public:
    using DataFunction = std::function<void(long status, std::string_view data)>;
    using DoneFunction = std::function<void(HttpResult)>;
    // Takes the final head of an answer, before its body.
    using HeadFunction = std::function<void(long status, const HttpFields &fields)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a request. The done function runs exactly once, never inside this call, unless cancelled.
    // With a data function the answer's body is passed piece by piece and isn't kept.
    HttpRequestId start(HttpRequest request, DoneFunction done, DataFunction data = nullptr,
                        HeadFunction head = nullptr);
    // Drops a request and closes its connection. None of its functions runs afterwards.
    void cancel(HttpRequestId id);

private:
    struct Transfer;
    struct CurlCallbacks;

    static void configure(Transfer &transfer);
    void serveSockets();
    void serveTimeout();
    void takeFinished();
    void finish(Transfer &transfer, int curlCode);
    void watchForSilence(Transfer &transfer);
    void release(Transfer &transfer);

    EventLoop &m_loop;
    void *m_multi = nullptr; // A CURLM, whose header stays out of this one.
    int m_epollFd = -1;
    Core::TimerId m_timer = Core::TimerId::None;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_set<std::shared_ptr<Transfer>> m_cancelled; // Until curl has let go of them.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
