#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>

namespace Daemon {

// The HTTP interface for calls to plain services: any method on /<route>/..., where the route is declared by a ticket.
class ServiceInterface
{
public:
    ServiceInterface(Host::Host &host, Core::Duration callTimeout);

    // Handles a call of a customer that has been authenticated by its token.
    void handleRequest(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer);

private:
    Host::Host &m_host;
    Core::Duration m_callTimeout;
};

}
