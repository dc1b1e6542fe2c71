#pragma once

#include <LibCore/Time.h>
#include <LibNet/HttpFields.h>
#include <LibNet/SharedBytes.h>
#include <functional>
#include <string>
#include <vector>

namespace Net {

// Which connection carries a request. By default, curl retries a request on a new connection when a reused connection
// is closed before the response. The client prevents this for requests that may have side effects: a request body can't
// be rewound, and a request without a body, other than GET and HEAD, is sent on a new connection.
enum class ConnectionUse {
    // A new connection is opened for this request alone. A second copy of an earlier response can't be taken for the
    // response to this request, and a pooled connection that has failed undetected can't delay it.
    Fresh,
    // An idle connection may be reused. Only for responses that name the request they belong to.
    Reuse,
};

// What restarts the idle timeout of a request, besides the head of the response.
enum class IdleProgress {
    AnyData,
    // Only HttpClient::recordProgress(). For streams, whose server may be stalled and yet send a byte now and then.
    Recorded,
};

// Which headers a request carries in addition to those in HttpRequest::headers.
enum class HeaderDefaults {
    // The headers that curl adds by default, such as Accept.
    Added,
    // Only Host and the headers that frame the body.
    Omitted,
};

// Twice what common servers allow.
inline constexpr std::size_t DefaultMaxHeadBytes = 64U << 10U;
// The largest responses are pages of the store: a megabyte, which Base64 and JSON make larger.
inline constexpr std::size_t DefaultMaxBodyBytes = 4U << 20U;
// For responses that say little more than their status, such as those to orders.
inline constexpr std::size_t SmallMaxBodyBytes = 64U << 10U;

// One outgoing HTTP request.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::string target; // The path and query exactly as sent; if empty, they are taken from the URL.
    HeaderDefaults headerDefaults = HeaderDefaults::Added;
    std::vector<std::string> headers; // Each in the form "Name: value".
    SharedBytes body;
    Core::Duration connectTimeout = std::chrono::milliseconds(500);
    Core::Duration totalTimeout = {}; // Zero means no limit.
    Core::Duration idleTimeout = {}; // Maximum time without progress; zero means no limit.
    IdleProgress idleProgress = IdleProgress::AnyData;
    ConnectionUse connectionUse = ConnectionUse::Fresh;
    // Asked when the connection is established, right before the first byte of the request is sent. If it returns
    // false, nothing is sent and the request fails. For requests that depend on a lease, which may expire while the
    // process is suspended or the connection is being established.
    std::function<bool()> isStillPermitted;
    // A server in trouble may send a head or body without end. The request fails when the response exceeds these sizes.
    // The second one applies only if the client stores the body.
    std::size_t maxHeadBytes = DefaultMaxHeadBytes;
    std::size_t maxBodyBytes = DefaultMaxBodyBytes;
};

// The outcome of an outgoing request.
struct HttpResult {
    long status = 0; // Zero when no complete response arrived.
    std::string contentType; // Empty when the response has no Content-Type.
    HttpFields fields; // All header fields of the response.
    std::string body; // Empty when a data function received the body.
    std::string error; // Empty when the response is complete.
    bool isTimedOut = false; // The connect, total or idle timeout expired.
    // The connection had carried an earlier request, whose response may have come a second time.
    bool isConnectionReused = false;
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

}
