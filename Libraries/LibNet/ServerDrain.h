#pragma once

#include <LibCore/Scheduler.h>
#include <LibNet/HttpServer.h>
#include <functional>

namespace Net {

struct ServerDrainOptions {
    Core::Duration pollPeriod = std::chrono::milliseconds(20);
    // How long no exchange must be open. Longer than a request takes from a caller that sent it before it could know
    // that the server stops.
    Core::Duration quietTime = std::chrono::milliseconds(100);
};

// The server that is drained.
struct DrainedServer {
    std::function<void()> stopListening;
    std::function<std::size_t()> openExchanges;
};

[[nodiscard]] DrainedServer drainedServer(HttpServer &server);

// The last part of a planned stop: no connection is accepted any more, and requests that arrive on accepted ones are
// still answered.
class ServerDrain
{
public:
    ServerDrain(Core::Scheduler &scheduler, DrainedServer server, ServerDrainOptions options);

    // Runs the function when no exchange has been open for the quiet time, or when the limit has passed.
    void start(Core::Duration limit, std::function<void()> done);

private:
    void poll();

    Core::Scheduler &m_scheduler;
    DrainedServer m_server;
    ServerDrainOptions m_options;
    Core::TimePoint m_quietSince {};
    Core::TimePoint m_limit {};
    std::function<void()> m_done;
};

}
