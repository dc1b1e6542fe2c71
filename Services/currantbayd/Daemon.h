#pragma once

#include <LibEngine/HttpEngineLink.h>
#include <LibHost/Host.h>
#include <LibNet/EventLoop.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>
#include <LibNet/PeerSocket.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibService/HttpServiceLink.h>
#include <LibSettings/DaemonSettings.h>
#include <currantbayd/CallerInterface.h>
#include <currantbayd/OperatorInterface.h>

namespace Daemon {

// One entry host as a process: joins the host's duties to the network and to the operating system.
class Daemon final : private Peer::PeerTransport
{
public:
    // Listens at once. Throws StepError when an address can't be used.
    explicit Daemon(const Settings::DaemonSettings &settings);

    // Serves until SIGTERM or SIGINT, then lets running requests end before it returns.
    void run();

private:
    void send(const Core::HostId &to, std::string bytes) override;
    void reconnect(const Core::HostId &to) override;
    void takeRequest(const std::shared_ptr<Net::Exchange> &exchange);
    void beginShutdown();
    void awaitExchanges();

    Settings::DaemonSettings m_settings;
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
    CallerInterface m_callers;
    OperatorInterface m_operators;
    Net::HttpServer m_server;
    bool m_isStopping = false;
    bool m_isRefusing = false; // The grace period of a planned stop is over.
};

}
