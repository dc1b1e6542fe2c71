#pragma once

#include <LibEngine/HttpEngineLink.h>
#include <LibHost/Host.h>
#include <LibNet/EventLoop.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>
#include <LibNet/PeerSocket.h>
#include <LibNet/ServerDrain.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibService/HttpServiceLink.h>
#include <LibSettings/DaemonSettings.h>
#include <currantbayd/CallerInterface.h>
#include <currantbayd/OperatorInterface.h>

namespace Daemon {

// The process of one entry host. Connects Host::Host to the network, the signals and the settings.
class Daemon final : private Peer::PeerTransport
{
public:
    // Starts to listen. Throws StepError when it can't listen on an address.
    explicit Daemon(const Settings::DaemonSettings &settings);

    // Serves until SIGTERM or SIGINT, then drains running requests before it returns.
    void run();

private:
    void send(const Core::HostId &to, std::string bytes) override;
    void reconnect(const Core::HostId &to) override;
    void handleRequest(const std::shared_ptr<Net::Exchange> &exchange);
    void beginShutdown();

    Settings::DaemonSettings m_settings;
    Net::BufferBudget m_budget; // Outlives what the loop keeps.
    Net::EventLoop m_loop;
    Core::IdSource m_ids;
    Metrics::Registry m_metrics;
    Trace::Tracer m_tracer;
    Net::HttpClient m_client;
    Platform::HttpPlatform m_platform;
    Engine::HttpEngineLink m_engines;
    Service::HttpServiceLink m_services;
    Net::PeerSocket m_peers;
    Host::Host m_host;
    CallerInterface m_callerInterface;
    OperatorInterface m_operatorInterface;
    Net::HttpServer m_server;
    Net::ServerDrain m_drain;
    bool m_isStopping = false;
    bool m_isRefusingRequests = false; // Set when the grace period of a shutdown has ended.
};

}
