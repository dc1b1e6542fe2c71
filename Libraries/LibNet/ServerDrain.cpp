#include <LibNet/ServerDrain.h>

#include <utility>

namespace Net {

DrainedServer drainedServer(HttpServer &server)
{
    return {.stopListening =
                [&server] {
                    server.stopListening();
                },
            .openExchanges =
                [&server] {
                    return server.openExchanges();
                }};
}

ServerDrain::ServerDrain(Core::Scheduler &scheduler, DrainedServer server, ServerDrainOptions options)
    : m_scheduler(scheduler)
    , m_server(std::move(server))
    , m_options(options)
{
}

void ServerDrain::start(Core::Duration limit, std::function<void()> done)
{
    m_quietSince = m_scheduler.now();
    m_limit = m_quietSince + limit;
    m_done = std::move(done);
    m_server.stopListening();
    poll();
}

void ServerDrain::poll()
{
    const auto now = m_scheduler.now();
    if (m_server.openExchanges() > 0) {
        m_quietSince = now + m_options.pollPeriod; // An exchange may end at any time before the next poll.
    }
    if (now >= m_limit || now - m_quietSince >= m_options.quietTime) {
        m_done();
        return;
    }
    m_scheduler.runAfter(m_options.pollPeriod, [this] {
        poll();
    });
}

}
