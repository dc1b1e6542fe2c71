#pragma once

#include <LibCore/Time.h>
#include <LibNet/EventLoop.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Net {

enum class ConnectionUse {
    // An idle connection may be used again.
    Reuse,
    // A connection is opened for this request alone, so that one that died in silence costs nothing.
    Fresh,
};

// One outgoing HTTP request.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; // Each in the form "Name: value".
    std::string body;
    Core::Duration connectTimeout = std::chrono::milliseconds(500);
    Core::Duration totalTimeout = {}; // Zero is no limit.
    Core::Duration silenceTimeout = {}; // Longest wait between two pieces of the answer; zero is no limit.
    ConnectionUse connectionUse = ConnectionUse::Reuse;
};

// How an outgoing request ended.
struct HttpResult {
    long status = 0; // Zero when no complete answer arrived.
    std::string contentType; // Empty when the answer names none.
    std::string body; // Empty when a data function took the pieces.
    std::string error; // Empty when the answer is complete.
    bool isTimedOut = false; // A time limit ended it, or silence did.
    bool mayHaveBeenSent = true; // False only when surely no byte of the request left.

    [[nodiscard]] bool isComplete() const
    {
        return error.empty();
    }
};

enum class HttpRequestId : std::uint64_t { None = 0 };

// Sends HTTP requests from the event loop, by curl's multi interface.
class HttpClient
{
public:
    using DataFunction = std::function<void(long status, std::string_view data)>;
    using DoneFunction = std::function<void(HttpResult)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a request. The done function runs exactly once, never inside this call, unless cancelled.
    // With a data function the answer's body is passed piece by piece and isn't kept.
    HttpRequestId start(HttpRequest request, DoneFunction done, DataFunction data = nullptr);
    // Drops a request and closes its connection. None of its functions runs afterwards.
    void cancel(HttpRequestId id);

private:
    struct Transfer;
    struct CurlCallbacks;

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
