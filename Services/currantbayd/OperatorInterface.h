#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>

namespace Daemon {

// The HTTP interface for operators, under /operator/: tickets, adapters, targets and hosts.
class OperatorInterface
{
public:
    OperatorInterface(Host::Host &host, std::vector<Settings::TokenHolder> operators);

    void take(const std::shared_ptr<Net::Exchange> &exchange);

private:
    void submitTicket(const std::shared_ptr<Net::Exchange> &exchange, const std::string &operatorName);
    void listAdapters(Net::Exchange &exchange) const;
    void listTargets(Net::Exchange &exchange) const;
    void listHosts(Net::Exchange &exchange) const;

    Host::Host &m_host;
    std::vector<Settings::TokenHolder> m_operators;
};

}
