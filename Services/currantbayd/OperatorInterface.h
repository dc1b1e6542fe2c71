#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Daemon {

// The HTTP interface for operators, under /operator/: tickets, adapters, targets and hosts. Nothing of a request is
// looked at before its token.
class OperatorInterface
{
public:
    OperatorInterface(Host::Host &host, std::vector<Settings::TokenHolder> operators);

    void take(const std::shared_ptr<Net::Exchange> &exchange);

private:
    using ExchangePointer = std::shared_ptr<Net::Exchange>;

    // One path. When it ends in a slash, what follows it is the name asked for.
    struct Route {
        std::string_view method;
        std::string_view path;
        void (OperatorInterface::*serve)(const ExchangePointer &, const std::string &name);
    };
    static const std::vector<Route> &routes();

    void submitTicket(const ExchangePointer &exchange, const std::string &name);
    void listTickets(const ExchangePointer &exchange, const std::string &name);
    void showTicket(const ExchangePointer &exchange, const std::string &name);
    void listAdapters(const ExchangePointer &exchange, const std::string &name);
    void showAdapter(const ExchangePointer &exchange, const std::string &name);
    void listTargets(const ExchangePointer &exchange, const std::string &name);
    void showTarget(const ExchangePointer &exchange, const std::string &name);
    void listHosts(const ExchangePointer &exchange, const std::string &name);
    [[nodiscard]] nlohmann::json describe(const Platform::Target &target) const;
    [[nodiscard]] nlohmann::json describeSlots(const Core::TargetId &target) const;

    Host::Host &m_host;
    std::vector<Settings::TokenHolder> m_operators;
    std::string m_operator; // Whose request is being looked at.
};

}
