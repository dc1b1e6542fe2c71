#include <LibNet/Exchange.h>

#include <LibNet/HttpServer.h>
#include <cerrno>
#include <microhttpd.h>
#include <sys/socket.h>

namespace Net {

namespace {

// The sent part of the buffer of a streamed body is freed once it is larger than this.
constexpr std::size_t MaxSentBytesKept = 16 * 1024;

}

std::string_view ServerRequest::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

Exchange::Exchange(ServerRequest request)
    : m_request(std::move(request))
{
}

const ServerRequest &Exchange::request() const
{
    return m_request;
}

void Exchange::respond(ResponseHead head, std::string body)
{
    if (m_connection == nullptr || m_hasResponse) {
        return;
    }
    m_head = std::move(head);
    m_pending = std::move(body);
    m_hasResponse = true;
    if (!m_pendingBytes.resize(m_pending.size())) {
        closeConnection();
        return;
    }
    resume();
}

void Exchange::beginStream(ResponseHead head)
{
    if (m_connection == nullptr || m_hasResponse) {
        return;
    }
    m_head = std::move(head);
    m_hasResponse = true;
    m_isStreaming = true;
    resume();
}

void Exchange::send(std::string_view piece)
{
    if (m_connection == nullptr || m_isClosing) {
        return;
    }
    const auto unsent = m_pending.size() - m_pendingOffset + piece.size();
    if (unsent > m_server->m_options.maxUnsentBytes) {
        closeConnection();
        return;
    }
    dropSentBytes();
    if (!m_pendingBytes.resize(m_pending.size() + piece.size())) {
        closeConnection();
        return;
    }
    m_pending += piece;
    resume();
    if (unsent > m_server->m_options.highWaterBytes && !m_isReaderBehind && m_onReaderState) {
        m_isReaderBehind = true;
        m_onReaderState(ReaderState::Behind);
    }
}

void Exchange::endStream()
{
    m_bodyState = BodyState::Complete;
    resume();
}

void Exchange::abortStream()
{
    m_bodyState = BodyState::Aborted;
    resume();
}

void Exchange::onClosed(ClosedFunction closed)
{
    m_onClosed = std::move(closed);
}

void Exchange::onReaderState(ReaderFunction changed)
{
    m_onReaderState = std::move(changed);
}

void Exchange::reportCaughtUp()
{
    const bool isDrained = m_pending.size() - m_pendingOffset <= m_server->m_options.lowWaterBytes;
    if (m_connection == nullptr || m_isClosing || !m_isReaderBehind || !isDrained) {
        return;
    }
    m_isReaderBehind = false;
    m_onReaderState(ReaderState::CaughtUp);
}

void Exchange::resume()
{
    if (m_connection == nullptr || !m_isSuspended) {
        return;
    }
    m_isSuspended = false;
    MHD_resume_connection(m_connection);
    m_server->scheduleRun();
}

void Exchange::dropSentBytes()
{
    // Moving the unsent bytes costs less than what it frees once they are the smaller part.
    if (m_pendingOffset > MaxSentBytesKept && m_pendingOffset > m_pending.size() / 2) {
        m_pending.erase(0, m_pendingOffset);
        m_pendingOffset = 0;
    }
}

void Exchange::closeConnection()
{
    m_isClosing = true;
    m_pending = {};
    m_pendingOffset = 0;
    m_pendingBytes.release();
    // A connection that blocks on writing isn't suspended, so resume() has no effect on it. Shutting down its socket
    // makes libmicrohttpd detect the end of the connection.
    shutdown(socket(), SHUT_RDWR);
    resume();
}

bool Exchange::hasCallerDisconnected() const
{
    char next = 0;
    const auto count = recv(socket(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

int Exchange::socket() const
{
    return MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

}
