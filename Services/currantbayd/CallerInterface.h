#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>
#include <currantbayd/CompletionResponse.h>
#include <currantbayd/ServiceInterface.h>

namespace Daemon {

struct CallerInterfaceOptions {
    std::vector<Settings::TokenHolder> callers;
    Core::Duration requestTimeout {};
};

// The HTTP interface for callers. Serves /v1/completions and /v1/chat/completions, and forwards every path outside
// /v1/ to the service that has the route.
class CallerInterface
{
public:
    CallerInterface(Host::Host &host, CallerInterfaceOptions options);

    void handleRequest(const std::shared_ptr<Net::Exchange> &exchange);

private:
    void complete(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer,
                  ResponseFormat format);

    Host::Host &m_host;
    CallerInterfaceOptions m_options;
    ServiceInterface m_services;
    std::uint64_t m_lastResponseNumber = 0;
};

}
