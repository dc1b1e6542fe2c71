#pragma once

#include <LibNet/HttpRequest.h>
#include <functional>
#include <string_view>

namespace Net {

enum class HttpRequestId : std::uint64_t { None = 0 };

// Sends HTTP requests without blocking.
class HttpTransport
{
public:
    using DataFunction = std::function<void(long status, std::string_view data)>;
    using DoneFunction = std::function<void(HttpResult)>;
    // Called with the status and header fields of the final response, before its body.
    using HeadFunction = std::function<void(long status, const HttpFields &fields)>;

    virtual ~HttpTransport() = default;
    // Starts a request. Unless the request is cancelled, the done function runs exactly once, and never inside this
    // call. If a data function is given, it receives the response body as it arrives and the body isn't stored.
    virtual HttpRequestId start(HttpRequest request, DoneFunction done, DataFunction data = nullptr,
                                HeadFunction head = nullptr)
        = 0;
    // Aborts a request and closes its connection. None of its functions runs afterwards.
    virtual void cancel(HttpRequestId id) = 0;
    // Stops reading the response of a request, so that its server can't send on, until resume() is called. The data
    // function doesn't run in between, unless the memory for received data is used up; the done function does if the
    // connection breaks. Time spent paused counts toward neither the idle nor the total timeout.
    virtual void pause(HttpRequestId id) = 0;
    // Reads on. The data function never runs inside this call.
    virtual void resume(HttpRequestId id) = 0;
};

}
