#pragma once

#include <LibCore/Scheduler.h>
#include <cstddef>
#include <vector>

namespace Net {

struct LingeringOptions {
    Core::Duration pollPeriod = std::chrono::milliseconds(20);
    // A caller that still sends after this time finds its connection reset.
    Core::Duration timeout = std::chrono::milliseconds(2000);
    std::size_t maxConnections = 64; // Further ones are closed at once.
};

// Connections that the server has ended before it read all that their callers send. Closing such a connection resets
// it, and the caller may lose the response (RFC 9112, section 9.6). So their sending side is closed and what arrives is
// discarded until the caller closes its side.
class LingeringConnections
{
public:
    LingeringConnections(Core::Scheduler &scheduler, LingeringOptions options);
    ~LingeringConnections();
    LingeringConnections(const LingeringConnections &) = delete;
    LingeringConnections &operator=(const LingeringConnections &) = delete;

    // Keeps the connection of the socket open. The caller still closes the socket itself. The complete response must
    // have been written.
    void add(int socket);

private:
    struct Connection {
        int socket = -1;
        Core::TimePoint endsAt {};
    };

    void poll();

    Core::Scheduler &m_scheduler;
    LingeringOptions m_options;
    std::vector<Connection> m_connections;
    Core::TimerId m_timer = Core::TimerId::None;
};

}
