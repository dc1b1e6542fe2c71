#pragma once

#include <LibGateway/Gateway.h>
#include <LibNet/EventLoop.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>
#include <LibNet/PeerSocket.h>
#include <LibNet/ServerDrain.h>
#include <LibSettings/GatewaySettings.h>
#include <currantbayd/GatewayOperatorInterface.h>
#include <filesystem>
#include <platform/ReplicaOrders.h>
#include <platform/RequestProtocol.h>
#include <platform/StoreClient.h>
#include <platform/StoreDeploymentSource.h>

namespace Daemon {

// The process of one entry host that forwards requests to replicas. Connects Gateway::Gateway to the network, the
// signals and the settings file.
class GatewayDaemon final : private Peer::PeerTransport
{
public:
    // Starts to listen. Throws StepError when it can't listen on an address.
    GatewayDaemon(const Settings::GatewaySettings &settings, std::string settingsFile);

    // Serves until SIGTERM or SIGINT, then drains running requests before it returns.
    void run();

private:
    void send(const Core::HostId &to, std::string bytes) override;
    void reconnect(const Core::HostId &to) override;
    void beginShutdown();
    void awaitOpenExchanges();
    // Stops the event loop once the requests on accepted connections have been answered.
    void closeCallerServer();
    void reload();
    // Reloads the settings file when its modification time changes, without waiting for SIGHUP.
    void pollSettingsFile();

    Settings::GatewaySettings m_settings;
    std::string m_settingsFile;
    Net::BufferBudget m_budget; // Outlives what the loop keeps.
    Net::EventLoop m_loop;
    Metrics::Registry m_metrics;
    Net::HttpClient m_client;
    PlatformAdapter::StoreClient m_store;
    PlatformAdapter::ReplicaOrders m_orders;
    PlatformAdapter::RequestProtocol m_protocol;
    Net::PeerSocket m_peers;
    Gateway::Gateway m_gateway;
    GatewayOperatorInterface m_operators;
    Net::HttpServer m_callerServer;
    Net::ServerDrain m_drain;
    Net::HttpServer m_readinessServer;
    std::unique_ptr<Net::HttpServer> m_metricsServer; // Of the metrics and the interface for operators.
    Core::TimePoint m_stopDeadline {}; // The drain is aborted at this time.
    Core::TimePoint m_balancerRemovalTime {}; // Until then the load balancer may still send requests.
    bool m_isStopping = false;
    bool m_isClosing = false;
    std::filesystem::file_time_type m_settingsModificationTime {}; // As of the last read.
};

}
