#include <LibNet/HttpTransfer.h>

#include <algorithm>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>

namespace Net {

namespace {

// TCP_USER_TIMEOUT: closes a connection whose peer acknowledges neither data nor keep-alive probes for this long.
constexpr int TcpUserTimeoutMilliseconds = 2500;
// A response with a lower status is interim (1xx) and is followed by another response head.
constexpr long FirstFinalStatus = 200;
// TCP keep-alive: idle seconds before the first probe, seconds between probes, and unacknowledged probes before the
// connection is closed.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

}

int HttpClient::CurlCallbacks::onSocket(CURL * /*easy*/, curl_socket_t socket, int what, void *context,
                                        void * /*socketContext*/)
{
    auto *client = static_cast<HttpClient *>(context);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(client->m_epollFd, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.data.fd = socket;
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    if (epoll_ctl(client->m_epollFd, EPOLL_CTL_MOD, socket, &event) != 0) {
        epoll_ctl(client->m_epollFd, EPOLL_CTL_ADD, socket, &event);
    }
    return 0;
}

int HttpClient::CurlCallbacks::onTimer(CURLM * /*multi*/, long timeoutMilliseconds, void *context)
{
    auto *client = static_cast<HttpClient *>(context);
    client->m_loop.cancel(client->m_timer);
    client->m_timer = Core::TimerId::None;
    if (timeoutMilliseconds >= 0) {
        client->m_timer = client->m_loop.runAfter(std::chrono::milliseconds(timeoutMilliseconds), [client] {
            client->handleTimeout();
        });
    }
    return 0;
}

int HttpClient::CurlCallbacks::onSocketOpened(void * /*context*/, curl_socket_t socket, curlsocktype /*purpose*/)
{
    const int isOn = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &isOn, sizeof isOn);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleSeconds, sizeof KeepAliveIdleSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds, sizeof KeepAliveIntervalSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof KeepAliveProbes);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMilliseconds, sizeof TcpUserTimeoutMilliseconds);
    return CURL_SOCKOPT_OK;
}

int HttpClient::CurlCallbacks::onConnected(void *context, char * /*peerAddress*/, char * /*localAddress*/,
                                           int /*peerPort*/, int /*localPort*/)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->request.isStillPermitted()) {
        return CURL_PREREQFUNC_OK;
    }
    transfer->violation = "the request is no longer permitted";
    return CURL_PREREQFUNC_ABORT;
}

std::size_t HttpClient::CurlCallbacks::onReadBody(char *bytes, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const auto body = transfer->request.body.view();
    const auto piece = std::min(size * count, body.size() - transfer->sentBodyBytes);
    std::memcpy(bytes, body.data() + transfer->sentBodyBytes, piece);
    transfer->sentBodyBytes += piece;
    return piece;
}

std::size_t HttpClient::CurlCallbacks::onHeader(char *bytes, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const auto length = size * count;
    std::string_view line(bytes, length);
    transfer->headBytes += length;
    if (transfer->headBytes > transfer->request.maxHeadBytes) {
        transfer->violation = "the head of the response is too large";
        return 0;
    }
    transfer->lastActivity = transfer->client->m_loop.now();
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
        line.remove_suffix(1);
    }
    if (line.starts_with("HTTP/")) {
        transfer->fields.clear();
        transfer->hasHead = false;
    } else if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
        transfer->fields.emplace_back(line.substr(0, colon), value);
    } else if (line.empty()) {
        long status = 0;
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
        transfer->hasHead = status >= FirstFinalStatus;
        if (transfer->hasHead && transfer->head && !transfer->isCancelled) {
            transfer->head(status, transfer->fields);
        }
    }
    return length;
}

bool HttpClient::CurlCallbacks::holdBack(Transfer &transfer)
{
    // curl keeps the piece and the rest of what it has received, which is one receive buffer at most. Without room for
    // that, the data goes on to the data function, whose buffers have limits of their own.
    transfer.isHeldByCurl = transfer.heldBytes.resize(ReceiveBufferBytes);
    return transfer.isHeldByCurl;
}

std::size_t HttpClient::CurlCallbacks::onData(char *bytes, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string_view piece(bytes, size * count);
    if (transfer->isCancelled) {
        return piece.size();
    }
    if (transfer->isPaused && holdBack(*transfer)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    if (transfer->request.idleProgress == IdleProgress::AnyData) {
        transfer->lastActivity = transfer->client->m_loop.now();
    }
    if (transfer->data) {
        long status = 0;
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
        transfer->data(status, piece);
    } else if (transfer->body.size() + piece.size() > transfer->request.maxBodyBytes) {
        transfer->violation = "the body of the response is too large";
        return 0;
    } else if (!transfer->bodyBytes.resize(transfer->body.size() + piece.size())) {
        transfer->violation = "this host has no memory left for the body of the response";
        return 0;
    } else {
        transfer->body += piece;
    }
    return piece.size();
}

}
