#include <LibNet/LingeringConnections.h>

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Net {

namespace {

// Read from one connection in a poll, so that a fast caller doesn't hold up the event loop.
constexpr std::size_t MaxReadsPerPoll = 64;

// Discards what has arrived. Returns false when the caller has closed its side or the connection has failed.
bool discardArrived(int socket)
{
    std::array<char, 64 * 1024> buffer {};
    for (std::size_t reads = 0; reads < MaxReadsPerPoll; ++reads) {
        const auto count = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (count == 0) {
            return false;
        }
    }
    return true;
}

}

LingeringConnections::LingeringConnections(Core::Scheduler &scheduler, LingeringOptions options)
    : m_scheduler(scheduler)
    , m_options(options)
{
}

LingeringConnections::~LingeringConnections()
{
    m_scheduler.cancel(m_timer);
    for (const auto &connection : m_connections) {
        close(connection.socket);
    }
}

void LingeringConnections::add(int socket)
{
    if (m_connections.size() >= m_options.maxConnections) {
        return;
    }
    const int duplicate = fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0) {
        return;
    }
    shutdown(duplicate, SHUT_WR);
    m_connections.push_back({.socket = duplicate, .endsAt = m_scheduler.now() + m_options.timeout});
    if (m_timer == Core::TimerId::None) {
        poll();
    }
}

void LingeringConnections::poll()
{
    m_timer = Core::TimerId::None;
    const auto now = m_scheduler.now();
    std::erase_if(m_connections, [now](const Connection &connection) {
        const bool isOpen = discardArrived(connection.socket) && now < connection.endsAt;
        if (!isOpen) {
            close(connection.socket);
        }
        return !isOpen;
    });
    if (!m_connections.empty()) {
        m_timer = m_scheduler.runAfter(m_options.pollPeriod, [this] {
            poll();
        });
    }
}

}
