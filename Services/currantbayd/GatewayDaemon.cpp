#include <currantbayd/GatewayDaemon.h>

#include <LibCore/HttpStatus.h>
#include <LibLog/Log.h>
#include <LibSettings/DaemonSettings.h>
#include <csignal>
#include <random>

namespace Daemon {

namespace {

constexpr auto ExchangePollPeriod = std::chrono::milliseconds(20);
// The balancer asks once a second and takes a host out of rotation after two misses.
constexpr auto LeaveRotationTime = std::chrono::milliseconds(3200);
// What arrives later during a planned stop couldn't run to its end.
constexpr auto ServeWhileStopping = std::chrono::milliseconds(2900);
// For the store to take the replicas back, at the end of a planned stop.
constexpr auto GiveUpTimeout = std::chrono::milliseconds(250);
// Left of the grace period for giving the replicas up and for the process to end by itself.
constexpr auto ExitReserve = std::chrono::milliseconds(450);
// Work for a caller who has left is to stop within half a second.
constexpr auto GoneCheckPeriod = std::chrono::milliseconds(150);
constexpr auto SettingsWatchPeriod = std::chrono::seconds(2);
constexpr unsigned IdleTimeoutSeconds = 60;
constexpr std::size_t ConnectionMemory = 40 * 1024;

std::uint64_t randomWord()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Net::HttpServerOptions serverOptions(const std::string &address, const Settings::GatewaySettings &settings)
{
    auto options = Net::listenAt(address);
    options.maxBodyBytes = settings.largestBodyBytes;
    options.maxConnections = settings.mostConnections;
    options.idleTimeoutSeconds = IdleTimeoutSeconds;
    options.connectionMemory = ConnectionMemory;
    options.disconnectCheckPeriod = GoneCheckPeriod;
    return options;
}

Gateway::RetryAllowanceOptions retryOptions(const Settings::GatewaySettings &settings)
{
    return {.ratio = settings.retryRatio, .extra = settings.retryExtra, .window = settings.retryWindow};
}

Gateway::GatewayOptions gatewayOptions(const Settings::GatewaySettings &settings)
{
    Holding::HolderTableOptions holding {.self = {.host = {settings.hostId},
                                                  .zone = {settings.zone},
                                                  .peerAddress = settings.peerAddress,
                                                  .incarnation = randomWord(),
                                                  .weight = settings.weight}};
    // A new holder's first order must come later than the gap after the last one that the former sent.
    holding.handoverGap = settings.orderGap + std::chrono::milliseconds(500);
    return {.holding = holding, .retries = retryOptions(settings), .peerKey = settings.peerKey};
}

}

GatewayDaemon::GatewayDaemon(const Settings::GatewaySettings &settings, std::string settingsFile)
    : m_settings(settings)
    , m_settingsFile(std::move(settingsFile))
    , m_client(m_loop)
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
                 .makeSource =
                     [](Platform::RowFeed &rows) {
                         return std::make_unique<PlatformAdapter::Deployment>(rows);
                     }},
                gatewayOptions(settings))
    , m_callers(m_loop, serverOptions(settings.callerAddress, settings),
                [this](const auto &exchange) {
                    m_gateway.take(exchange);
                })
    , m_readiness(m_loop, serverOptions(settings.readinessAddress, settings), [this](const auto &exchange) {
        const bool isReady = m_gateway.isReady() && !m_isStopping;
        exchange->respond({.status = isReady ? Core::HttpStatus::Ok : Core::HttpStatus::ServiceUnavailable,
                           .contentType = "text/plain"},
                          isReady ? "ready\n" : "not ready\n");
    })
{
    if (!settings.metricsAddress.empty()) {
        m_metricsServer = std::make_unique<Net::HttpServer>(
            m_loop, serverOptions(settings.metricsAddress, settings), [this](const auto &exchange) {
                exchange->respond({.contentType = "text/plain; version=0.0.4"}, m_metrics.toPrometheusText());
            });
    }
    m_metrics.gauge("currantbay_open_exchanges", [this] {
        return static_cast<double>(m_callers.openExchanges());
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
    watchSettings();
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
        m_gateway.setRetries(retryOptions(settings));
        m_settings.stopGrace = settings.stopGrace;
        Log::write(Log::Event::SettingsReloaded, {{"file", m_settingsFile}});
    } catch (const std::exception &error) {
        Log::write(Log::Event::SettingsRefused, {{"file", m_settingsFile}, {"reason", error.what()}});
    }
}

void GatewayDaemon::watchSettings()
{
    std::error_code error;
    const auto changed = std::filesystem::last_write_time(m_settingsFile, error);
    const bool isFirst = m_settingsTime == std::filesystem::file_time_type {};
    if (!error && changed != m_settingsTime) {
        m_settingsTime = changed;
        if (!isFirst) {
            reload();
        }
    }
    m_loop.runAfter(SettingsWatchPeriod, [this] {
        watchSettings();
    });
}

void GatewayDaemon::beginShutdown()
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    const auto now = m_loop.now();
    m_stopAt = now + m_settings.stopGrace - ExitReserve;
    m_listenUntil = now + LeaveRotationTime;
    Log::write(Log::Event::DaemonStopping, {{"running", std::to_string(m_callers.openExchanges())}});
    m_callers.endKeepAlive();
    m_gateway.beginLeaving();
    m_loop.runAfter(ServeWhileStopping, [this] {
        m_gateway.refuseNewRequests();
    });
    awaitExchanges();
}

void GatewayDaemon::awaitExchanges()
{
    const auto now = m_loop.now();
    const bool isDone = now >= m_listenUntil && m_callers.openExchanges() == 0;
    if (!isDone && now < m_stopAt) {
        m_loop.runAfter(ExchangePollPeriod, [this] {
            awaitExchanges();
        });
        return;
    }
    if (!isDone) {
        Log::write(Log::Event::DrainCut, {{"running", std::to_string(m_callers.openExchanges())}});
    }
    m_loop.runAfter(GiveUpTimeout, [this] {
        m_loop.stop();
    });
    m_gateway.giveUpReplicas([this] {
        m_loop.stop();
    });
}

}
