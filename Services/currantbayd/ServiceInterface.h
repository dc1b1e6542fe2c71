#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>

namespace Daemon {

// The HTTP interface for calls to plain services: any method on /<route>/..., where a ticket names the route.
class ServiceInterface
{
public:
    ServiceInterface(Host::Host &host, Core::Duration callTimeout);

    // Takes a call of a customer who is known by its token.
    void take(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer);

private:
    Host::Host &m_host;
    Core::Duration m_callTimeout;
};

}
