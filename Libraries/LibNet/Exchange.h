#pragma once

#include <LibNet/BufferBudget.h>
#include <LibNet/HttpFields.h>
#include <LibNet/SharedBytes.h>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
    SharedBytes body;

    // Returns the value of a header, or an empty view. The name must be in lower case.
    [[nodiscard]] std::string_view header(const std::string &name) const;
};

// The limit on the body of a request.
struct BodyLimit {
    std::size_t bytes = 0;
    // A request whose head names a larger body is refused at once and its connection ends. Otherwise the body is read
    // and discarded before the refusal.
    bool isRefusedAtHead = false;
};

// The status and headers of a response.
struct ResponseHead {
    unsigned status = 200;
    std::string contentType
        = "application/json"; // Empty when `headers` contains Content-Type or the response has none.
    std::vector<std::pair<std::string, std::string>> headers;
};

// Whether the caller of a streamed response reads slowly, so that no more should be sent for now.
enum class ReaderState { Behind, CaughtUp };

// A request and its response. The response can be sent at any time after the request has arrived, and only once.
// Calls after the connection has closed have no effect.
class Exchange
{
public:
    using ClosedFunction = std::function<void()>;
    using ReaderFunction = std::function<void(ReaderState)>;

    Exchange() = default;
    // An exchange without a connection, for tests.
    explicit Exchange(ServerRequest request);
    virtual ~Exchange() = default;
    [[nodiscard]] virtual const ServerRequest &request() const;
    // Sends a response with a complete body.
    virtual void respond(ResponseHead head, std::string body);
    // Starts a response whose body is sent in pieces by send().
    virtual void beginStream(ResponseHead head);
    // Sends a piece of the body. If the caller reads so slowly that more than maxUnsentBytes would be buffered, or more
    // than the host's budget has room for, its connection is closed and the closed function runs.
    virtual void send(std::string_view piece);
    // Ends the body normally.
    virtual void endStream();
    // Closes the connection in the middle of the body, so that the caller detects an incomplete response.
    virtual void abortStream();
    // Sets a function that runs if the caller's connection closes before the response has ended.
    virtual void onClosed(ClosedFunction closed);
    // Sets a function that runs when the unsent bytes of a streamed body exceed highWaterBytes, inside send(), and when
    // they have fallen to lowWaterBytes after that, outside any call of the exchange. The two take turns.
    virtual void onReaderState(ReaderFunction changed);

private:
    friend class HttpServer;
    friend struct ServerCallbacks;
    enum class BodyState { Open, Complete, Aborted };

    void resume();
    // Frees the part of the body that has been sent, if it is large enough.
    void dropSentBytes();
    // Reports that the caller has caught up.
    void reportCaughtUp();
    // Closes the connection of a caller that has disconnected or reads too slowly.
    void closeConnection();
    // Returns true when the caller has closed its end. libmicrohttpd doesn't detect this while the connection is
    // suspended.
    [[nodiscard]] bool hasCallerDisconnected() const;
    [[nodiscard]] int socket() const;

    class HttpServer *m_server = nullptr;
    MHD_Connection *m_connection = nullptr; // Null when the connection has closed.
    ServerRequest m_request;
    std::string_view m_targetInBuffer; // The target where libmicrohttpd has read it, until the head is complete.
    ResponseHead m_head;
    BodyLimit m_bodyLimit; // In force when the head arrived.
    std::string m_received; // The body of the request while it arrives.
    std::size_t m_discardedBytes = 0; // Of the body of a request that is going to be refused.
    BufferBudget::Reservation m_requestBytes;
    std::string m_pending;
    std::size_t m_pendingOffset = 0;
    BufferBudget::Reservation m_pendingBytes;
    BodyState m_bodyState = BodyState::Open;
    std::optional<unsigned> m_refusal; // The status with which the server itself refuses the request.
    bool m_endsConnection = false; // The connection closes after the response.
    bool m_isBodyUnread = false; // The response is sent while the caller may still be sending the body.
    bool m_isHandled = false;
    bool m_hasResponse = false;
    bool m_isStreaming = false;
    bool m_isResponseQueued = false;
    bool m_isSuspended = false;
    bool m_isClosing = false;
    bool m_isReaderBehind = false;
    ClosedFunction m_onClosed;
    ReaderFunction m_onReaderState;
};

}
