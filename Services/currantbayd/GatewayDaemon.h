#pragma once

#include <LibGateway/Gateway.h>
#include <LibNet/EventLoop.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>
#include <LibNet/PeerSocket.h>
#include <LibSettings/GatewaySettings.h>
#include <filesystem>
#include <platform/ReplicaOrders.h>
#include <platform/RequestProtocol.h>
#include <platform/StoreClient.h>
#include <platform/StoreDeploymentSource.h>

namespace Daemon {

// One entry host that passes requests on to replicas: joins the gateway to the network and to the operating system.
class GatewayDaemon final : private Peer::PeerTransport
{
public:
    // Listens at once. Throws StepError when an address can't be used.
    GatewayDaemon(const Settings::GatewaySettings &settings, std::string settingsFile);

    // Serves until SIGTERM or SIGINT, then lets running requests end before it returns.
    void run();

private:
    void send(const Core::HostId &to, std::string bytes) override;
    void reconnect(const Core::HostId &to) override;
    void beginShutdown();
    void awaitExchanges();
    void reload();
    // Rereads the settings file when it has changed without a signal.
    void watchSettings();

    Settings::GatewaySettings m_settings;
    std::string m_settingsFile;
    Net::EventLoop m_loop;
    Metrics::Registry m_metrics;
    Net::HttpClient m_client;
    PlatformAdapter::StoreClient m_store;
    PlatformAdapter::ReplicaOrders m_orders;
    PlatformAdapter::RequestProtocol m_protocol;
    Net::PeerSocket m_peers;
    Gateway::Gateway m_gateway;
    Net::HttpServer m_callers;
    Net::HttpServer m_readiness;
    std::unique_ptr<Net::HttpServer> m_metricsServer;
    Core::TimePoint m_stopAt {}; // The latest end of a planned stop.
    Core::TimePoint m_listenUntil {}; // The balancer may still send callers until then.
    bool m_isStopping = false;
    std::filesystem::file_time_type m_settingsTime {}; // Of the file that was read last.
};

}
