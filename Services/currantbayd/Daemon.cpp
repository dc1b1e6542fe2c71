#include <currantbayd/Daemon.h>

#include <LibLog/Log.h>
#include <algorithm>
#include <csignal>
#include <currantbayd/HttpRefusal.h>
#include <random>

namespace Daemon {

namespace {

std::uint64_t randomBits()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

// One in this many bytes of the process may be buffered for peers.
constexpr std::size_t BufferShare = 4;

Net::HttpServerOptions serverOptions(const Settings::DaemonSettings &settings, Net::BufferBudget &budget)
{
    auto options = Net::listenAt(settings.callerAddress);
    options.budget = &budget;
    options.maxBodyBytes = settings.largestBodyBytes;
    options.maxConnections = settings.mostConnections;
    return options;
}

// Divides the load limits of the weight store equally among the hosts.
Owner::OwnedTargetsOptions ownerOptions(const Settings::DaemonSettings &settings)
{
    Owner::DispatcherOptions options {.policy = Policy::findPolicyVersion(settings.weighting)};
    options.budget.loadsPerSecond = settings.storeLoadsPerSecond / settings.storeHosts;
    if (settings.storeLoadsAtFullSpeed > 0) {
        options.budget.maxInFlight = std::max(1U, settings.storeLoadsAtFullSpeed / settings.storeHosts);
    }
    return {.dispatcher = options};
}

std::vector<Core::HostId> seedHosts(const Settings::DaemonSettings &settings)
{
    std::vector<Core::HostId> seeds;
    for (const auto &address : settings.peers) {
        if (address != settings.peerAddress) {
            seeds.push_back({address});
        }
    }
    return seeds;
}

Host::HostOptions hostOptions(const Settings::DaemonSettings &settings, std::uint64_t incarnation)
{
    return {.record = {.id = {settings.hostId},
                       .zone = {settings.zone},
                       .peerAddress = settings.peerAddress,
                       .callerAddress = settings.callerAddress,
                       .incarnation = incarnation},
            .peerKey = settings.peerKey,
            .coldStart = {.seeds = seedHosts(settings)},
            .owner = ownerOptions(settings)};
}

}

Daemon::Daemon(const Settings::DaemonSettings &settings)
    : m_settings(settings)
    , m_budget(settings.memoryBytes / BufferShare)
    , m_ids(randomBits())
    , m_tracer(m_ids, {.file = settings.traceFile, .host = settings.hostId})
    , m_client(m_loop, &m_budget)
    , m_platform(m_client, {.address = settings.platformAddress})
    , m_engines(m_client, {.idleTimeout = settings.streamSilence})
    , m_services(m_client, {})
    , m_peers(m_loop, settings.peerAddress,
              [this](std::string_view bytes) {
                  m_host.router().receive(bytes);
              })
    , m_host({.scheduler = m_loop,
              .table = m_platform,
              .hostList = m_platform,
              .transport = *this,
              .engines = m_engines,
              .services = m_services,
              .ids = m_ids,
              .tracer = m_tracer,
              .metrics = m_metrics},
             hostOptions(settings, m_ids.randomNumber()))
    , m_callerInterface(m_host, {.callers = settings.callers, .requestTimeout = settings.requestTimeout})
    , m_operatorInterface(m_host, settings.operators)
    , m_server(m_loop, serverOptions(settings, m_budget),
               [this](const auto &exchange) {
                   handleRequest(exchange);
               })
    , m_drain(m_loop, Net::drainedServer(m_server), {})
{
    m_metrics.gauge("currantbay_running_requests", [this] {
        return static_cast<double>(m_host.runningCount());
    });
    m_metrics.gauge("currantbay_buffered_bytes", [this] {
        return static_cast<double>(m_budget.used());
    });
    m_metrics.gauge("currantbay_ambiguous_requests", [this] {
        return static_cast<double>(m_server.ambiguousRequests());
    });
    m_metrics.gauge("currantbay_waiting_requests", [this] {
        return static_cast<double>(m_host.owner().waitingCount());
    });
    m_metrics.gauge("currantbay_ledger_unsettled_attempts", [this] {
        return static_cast<double>(m_host.ledger().unresolvedCount());
    });
    m_metrics.gauge("currantbay_ticket_sequence", [this] {
        return static_cast<double>(m_host.tickets().state()->sequence());
    });
    m_metrics.gauge("currantbay_ticket_feed_malformed_rows", [this] {
        return static_cast<double>(m_host.tickets().malformedRowCount());
    });
}

void Daemon::run()
{
    m_loop.watchSignal(SIGTERM, [this] {
        beginShutdown();
    });
    m_loop.watchSignal(SIGINT, [this] {
        beginShutdown();
    });
    m_host.start();
    Log::write(Log::Event::DaemonStarted, {{"zone", m_settings.zone}, {"callers", m_settings.callerAddress}});
    m_loop.run();
    Log::write(Log::Event::DaemonStopped);
}

void Daemon::send(const Core::HostId &to, std::string bytes)
{
    if (const auto address = m_host.peerAddress(to); address.has_value()) {
        m_peers.send(*address, bytes);
    }
}

void Daemon::reconnect(const Core::HostId &to)
{
    if (const auto address = m_host.peerAddress(to); address.has_value()) {
        m_peers.disconnect(*address);
    }
}

void Daemon::handleRequest(const std::shared_ptr<Net::Exchange> &exchange)
{
    const auto &path = exchange->request().path;
    if (path == "/healthz") {
        exchange->respond({.contentType = "text/plain"}, "alive\n");
    } else if (path == "/readyz") {
        const bool isReady = m_host.isReady();
        exchange->respond({.status = isReady ? 200U : 503U, .contentType = "text/plain"},
                          isReady ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        exchange->respond({.contentType = "text/plain; version=0.0.4"}, m_metrics.toPrometheusText());
    } else if (path.starts_with("/operator/")) {
        m_operatorInterface.handleRequest(exchange);
    } else if (m_isRefusingRequests) {
        refuse(*exchange,
               {.status = 503,
                .code = "stopping",
                .message = "this entry host is shutting down",
                .suggestedAction = "retry; another host will serve the request",
                .retryAfterMilliseconds = 1000});
    } else {
        m_callerInterface.handleRequest(exchange);
    }
}

void Daemon::beginShutdown()
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    Log::write(Log::Event::DaemonStopping, {{"running", std::to_string(m_host.runningCount())}});
    m_server.endKeepAlive();
    m_loop.runAfter(m_settings.drainTimeout, [this] {
        Log::write(Log::Event::DrainCut, {{"running", std::to_string(m_host.runningCount())}});
        m_loop.stop();
    });
    // The load balancer takes some time to notice that this host is not ready. Requests that arrive in the meantime are
    // served.
    m_loop.runAfter(m_settings.leaveGrace, [this] {
        m_isRefusingRequests = true;
    });
    m_host.leave(m_settings.leaveGrace, [this] {
        m_drain.start(m_settings.drainTimeout, [this] {
            m_loop.stop();
        });
    });
}

}
