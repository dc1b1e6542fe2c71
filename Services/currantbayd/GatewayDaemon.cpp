#include <currantbayd/GatewayDaemon.h>

#include <LibCore/HttpStatus.h>
#include <LibLog/Log.h>
#include <LibSettings/DaemonSettings.h>
#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace Daemon {

namespace {

constexpr auto ExchangePollPeriod = std::chrono::milliseconds(20);
// The load balancer probes once a second and takes a host out of rotation after two failed probes.
constexpr auto BalancerRemovalTime = std::chrono::milliseconds(3200);
// Callers arrive until the balancer has removed the host. A request that arrives later than this during a shutdown
// could not finish within the grace period.
constexpr auto AcceptWhileStoppingTime = std::chrono::milliseconds(2900);
// Requests are accepted for at most this part of the time in which they have to finish.
constexpr double AcceptWhileStoppingShare = 0.4;
// Limit for releasing the replicas in the store at the end of a shutdown.
constexpr auto ReplicaReleaseTimeout = std::chrono::milliseconds(250);
// The part of the grace period that is reserved for releasing the replicas, for requests on accepted connections and
// for the process to exit by itself.
constexpr auto ExitReserveTime = std::chrono::milliseconds(550);
// The part of that which the process needs to exit, after the last responses.
constexpr auto LastExitTime = std::chrono::milliseconds(150);
// The part of that in which requests that are still open are answered.
constexpr auto LastResponseTime = std::chrono::milliseconds(60);
// Work for a caller that has disconnected must stop within half a second.
constexpr auto DisconnectCheckPeriod = std::chrono::milliseconds(150);
constexpr auto SettingsPollPeriod = std::chrono::seconds(2);
constexpr unsigned IdleTimeoutSeconds = 60;
// One in this many bytes of the process may be buffered for peers. A string that grows takes up to three times its
// size, and the rest of the process needs some memory too.
constexpr std::size_t BufferShare = 4;
constexpr std::size_t ConnectionMemoryBytes = 40 * 1024;

std::uint64_t randomBits()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Net::HttpServerOptions serverOptions(const std::string &address, const Settings::GatewaySettings &settings,
                                     Net::BufferBudget &budget)
{
    auto options = Net::listenAt(address);
    options.budget = &budget;
    options.maxBodyBytes = settings.largestBodyBytes;
    options.maxConnections = settings.mostConnections;
    options.idleTimeoutSeconds = IdleTimeoutSeconds;
    options.connectionMemory = ConnectionMemoryBytes;
    options.disconnectCheckPeriod = DisconnectCheckPeriod;
    return options;
}

// Only callers' requests have a limit in the configuration.
Net::HttpServerOptions callerServerOptions(const Settings::GatewaySettings &settings, Net::BufferBudget &budget,
                                           const Gateway::Gateway &gateway)
{
    auto options = serverOptions(settings.callerAddress, settings, budget);
    options.operatorMaxBodyBytes = [&gateway] {
        return gateway.maxBodySize();
    };
    return options;
}

Gateway::ServiceRetryBudgetOptions retryOptions(const Settings::GatewaySettings &settings)
{
    return {.ratio = settings.retryRatio, .extra = settings.retryExtra, .window = settings.retryWindow};
}

Gateway::GatewayOptions gatewayOptions(const Settings::GatewaySettings &settings)
{
    Holding::HolderTableOptions holding {.self = {.host = {settings.hostId},
                                                  .zone = {settings.zone},
                                                  .peerAddress = settings.peerAddress,
                                                  .incarnation = randomBits(),
                                                  .weight = settings.weight}};
    // The first order of a new holder must be sent after the order gap that follows the last order of the previous
    // holder.
    holding.handoverGap = settings.orderGap + std::chrono::milliseconds(500);
    holding.goneRows.removalDelay += holding.handoverGap;
    return {.holding = holding,
            .retryBudget = retryOptions(settings),
            .peerKey = settings.peerKey,
            .changes = {.apply = settings.changeApplyTime, .drain = settings.drainTime},
            .revocationBound = settings.revocationBound};
}

}

GatewayDaemon::GatewayDaemon(const Settings::GatewaySettings &settings, std::string settingsFile)
    : m_settings(settings)
    , m_settingsFile(std::move(settingsFile))
    , m_budget(settings.memoryBytes / BufferShare)
    , m_client(m_loop, &m_budget)
    , m_store(m_client, {.address = settings.platformAddress})
    , m_orders(m_client)
    , m_peers(m_loop, settings.peerAddress,
              [this](std::string_view bytes) {
                  m_gateway.router().receive(bytes);
              })
    , m_gateway({.scheduler = m_loop,
                 .client = m_client,
                 .table = m_store,
                 .rows = m_store,
                 .orders = m_orders,
                 .protocol = m_protocol,
                 .transport = *this,
                 .metrics = m_metrics,
                 .budget = &m_budget,
                 .makeSource =
                     [](Platform::RowFeed &rows) {
                         return std::make_unique<PlatformAdapter::StoreDeploymentSource>(rows);
                     }},
                gatewayOptions(settings))
    , m_operators(m_gateway,
                  {.maxBodyBytes =
                       [this] {
                           return m_callerServer.bodyLimit().bytes;
                       },
                   .idSeed = randomBits()})
    , m_callerServer(m_loop, callerServerOptions(settings, m_budget, m_gateway),
                     [this](const auto &exchange) {
                         m_gateway.handleRequest(exchange);
                     })
    , m_drain(m_loop, Net::drainedServer(m_callerServer), {})
    , m_readinessServer(
          m_loop, serverOptions(settings.readinessAddress, settings, m_budget), [this](const auto &exchange) {
              const bool isReady = m_gateway.isReady() && !m_isStopping;
              exchange->respond({.status = isReady ? Core::HttpStatus::Ok : Core::HttpStatus::ServiceUnavailable,
                                 .contentType = "text/plain"},
                                isReady ? "ready\n" : "not ready\n");
          })
{
    if (!settings.metricsAddress.empty()) {
        m_metricsServer = std::make_unique<Net::HttpServer>(
            m_loop, serverOptions(settings.metricsAddress, settings, m_budget), [this](const auto &exchange) {
                if (GatewayOperatorInterface::isResponsibleFor(exchange->request().path)) {
                    m_operators.handleRequest(*exchange);
                    return;
                }
                exchange->respond({.contentType = "text/plain; version=0.0.4"}, m_metrics.toPrometheusText());
            });
    }
    m_metrics.gauge("currantbay_open_exchanges", [this] {
        return static_cast<double>(m_callerServer.openExchanges());
    });
    m_metrics.gauge("currantbay_buffered_bytes", [this] {
        return static_cast<double>(m_budget.used());
    });
    m_metrics.gauge("currantbay_reclaimed_buffers", [this] {
        return static_cast<double>(m_budget.reclaimed());
    });
    m_metrics.gauge("currantbay_allowance_loans_asked", [this] {
        return static_cast<double>(m_gateway.allowanceCounts().asked);
    });
    m_metrics.gauge("currantbay_allowance_taken_without_lender", [this] {
        return static_cast<double>(m_gateway.allowanceCounts().takenWithoutLender);
    });
    m_metrics.gauge("currantbay_slow_replicas", [this] {
        return static_cast<double>(m_gateway.unusualReplicas().slow);
    });
    m_metrics.gauge("currantbay_fast_replicas", [this] {
        return static_cast<double>(m_gateway.unusualReplicas().fast);
    });
    m_metrics.gauge("currantbay_ambiguous_requests", [this] {
        return static_cast<double>(m_callerServer.ambiguousRequests());
    });
}

void GatewayDaemon::run()
{
    m_loop.watchSignal(SIGTERM, [this] {
        beginShutdown();
    });
    m_loop.watchSignal(SIGINT, [this] {
        beginShutdown();
    });
    m_loop.watchSignal(SIGHUP, [this] {
        reload();
    });
    m_gateway.start();
    pollSettingsFile();
    Log::write(Log::Event::DaemonStarted, {{"zone", m_settings.zone}, {"callers", m_settings.callerAddress}});
    m_loop.run();
    Log::write(Log::Event::DaemonStopped);
}

void GatewayDaemon::send(const Core::HostId &to, std::string bytes)
{
    if (const auto address = m_gateway.holders().peerAddress(to); address.has_value()) {
        m_peers.send(*address, bytes);
    }
}

void GatewayDaemon::reconnect(const Core::HostId &to)
{
    if (const auto address = m_gateway.holders().peerAddress(to); address.has_value()) {
        m_peers.disconnect(*address);
    }
}

void GatewayDaemon::reload()
{
    try {
        const auto settings = Settings::parseGatewaySettings(Settings::readSettingsFile(m_settingsFile));
        m_gateway.setRetryBudget(retryOptions(settings));
        m_settings.stopGrace = settings.stopGrace;
        Log::write(Log::Event::SettingsReloaded, {{"file", m_settingsFile}});
    } catch (const std::exception &error) {
        Log::write(Log::Event::SettingsRefused, {{"file", m_settingsFile}, {"reason", error.what()}});
    }
}

void GatewayDaemon::pollSettingsFile()
{
    std::error_code error;
    const auto changed = std::filesystem::last_write_time(m_settingsFile, error);
    const bool isFirst = m_settingsModificationTime == std::filesystem::file_time_type {};
    if (!error && changed != m_settingsModificationTime) {
        m_settingsModificationTime = changed;
        if (!isFirst) {
            reload();
        }
    }
    m_loop.runAfter(SettingsPollPeriod, [this] {
        pollSettingsFile();
    });
}

void GatewayDaemon::beginShutdown()
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    const auto now = m_loop.now();
    m_stopDeadline = now + m_settings.stopGrace - ExitReserveTime;
    m_balancerRemovalTime = now + BalancerRemovalTime;
    Log::write(Log::Event::DaemonStopping, {{"running", std::to_string(m_callerServer.openExchanges())}});
    m_callerServer.endKeepAlive();
    m_gateway.beginLeaving();
    const auto acceptTime
        = std::chrono::duration_cast<Core::Duration>((m_stopDeadline - now) * AcceptWhileStoppingShare);
    m_loop.runAfter(std::min<Core::Duration>(AcceptWhileStoppingTime, acceptTime), [this] {
        m_gateway.refuseNewRequests();
    });
    awaitOpenExchanges();
}

void GatewayDaemon::awaitOpenExchanges()
{
    const auto now = m_loop.now();
    const bool isDone = now >= m_balancerRemovalTime && m_callerServer.openExchanges() == 0;
    if (!isDone && now < m_stopDeadline) {
        m_loop.runAfter(ExchangePollPeriod, [this] {
            awaitOpenExchanges();
        });
        return;
    }
    if (!isDone) {
        Log::write(Log::Event::DrainCut, {{"running", std::to_string(m_callerServer.openExchanges())}});
    }
    m_loop.runAfter(ReplicaReleaseTimeout, [this] {
        closeCallerServer();
    });
    m_gateway.releaseReplicas([this] {
        closeCallerServer();
    });
}

void GatewayDaemon::closeCallerServer()
{
    if (std::exchange(m_isClosing, true)) {
        return;
    }
    const auto remaining = m_stopDeadline + ExitReserveTime - LastExitTime - m_loop.now();
    m_drain.start(std::max<Core::Duration>(remaining, {}), [this] {
        m_gateway.endRequests();
        m_loop.runAfter(LastResponseTime, [this] {
            m_loop.stop();
        });
    });
}

}
