#pragma once

#include <LibNet/HttpClient.h>
#include <curl/curl.h>

namespace Net {

// curl's receive buffer. It holds any response head that occurs in practice.
inline constexpr long ReceiveBufferBytes = 16 * 1024;

struct HttpClient::Transfer {
    HttpClient *client = nullptr;
    std::uint64_t id = 0;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    HttpRequest request;
    DoneFunction done;
    DataFunction data;
    HeadFunction head;
    std::size_t sentBodyBytes = 0;
    std::size_t headBytes = 0; // Received, of interim and final heads together.
    bool hasHead = false; // The final head is complete.
    std::string_view violation; // Why the client has ended the transfer; empty if it hasn't.
    HttpFields fields;
    std::string body;
    BufferBudget::Reservation bodyBytes;
    Core::TimePoint lastActivity {};
    Core::TimerId idleTimer = Core::TimerId::None;
    bool isPaused = false;
    bool isHeldByCurl = false; // curl keeps data that arrived during a pause and receives nothing.
    BufferBudget::Reservation heldBytes; // The data that curl keeps.
    Core::TimePoint pausedAt {};
    Core::TimePoint totalDue {}; // When the total timeout expires, if the request has one.
    Core::TimerId totalTimer = Core::TimerId::None; // After a pause.
    bool isCancelled = false;
};

// curl's C callbacks. The client adds curl's sockets to its own epoll descriptor and the event loop watches only that
// one, so that no handler is registered or deleted while the reactor is calling it.
struct HttpClient::CurlCallbacks {
    static int onSocket(CURL * /*easy*/, curl_socket_t socket, int what, void *context, void * /*socketContext*/);
    static int onTimer(CURLM * /*multi*/, long timeoutMilliseconds, void *context);
    // Enables TCP keep-alive, which detects a peer that disappeared without closing the connection, and keeps the state
    // that a NAT or firewall on the path holds for an idle connection.
    static int onSocketOpened(void * /*context*/, curl_socket_t socket, curlsocktype /*purpose*/);
    // Runs between the establishment of the connection and the first byte of the request.
    static int onConnected(void *context, char * /*peerAddress*/, char * /*localAddress*/, int /*peerPort*/,
                           int /*localPort*/);
    // Supplies the request body to curl. No seek function is set, so curl can't rewind the body to send it again.
    static std::size_t onReadBody(char *bytes, std::size_t size, std::size_t count, void *context);
    static std::size_t onHeader(char *bytes, std::size_t size, std::size_t count, void *context);
    // Whether curl is to keep the data that arrives during a pause.
    static bool holdBack(Transfer &transfer);
    static std::size_t onData(char *bytes, std::size_t size, std::size_t count, void *context);
};

}
