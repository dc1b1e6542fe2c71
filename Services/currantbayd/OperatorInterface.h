#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Daemon {

// The HTTP interface for operators, under /operator/: tickets, adapters, targets and hosts. The token is checked before
// any other part of a request.
class OperatorInterface
{
public:
    OperatorInterface(Host::Host &host, std::vector<Settings::TokenHolder> operators);

    void handleRequest(const std::shared_ptr<Net::Exchange> &exchange);

private:
    using ExchangePointer = std::shared_ptr<Net::Exchange>;

    // A path that ends in a slash is a prefix: the rest of the requested path is passed to the handler as the name.
    struct Route {
        std::string_view method;
        std::string_view path;
        void (OperatorInterface::*handle)(const ExchangePointer &, const std::string &name);
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
    std::string m_operatorName; // The operator whose request is being handled.
};

}
