#pragma once

#include <LibCore/IdSource.h>
#include <LibGateway/Gateway.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace Daemon {

// The HTTP interface for operators of a host in gateway mode, under /operator/ at the address of the metrics. As for
// the metrics, there is no token: callers and the load balancer don't reach this address.
class GatewayOperatorInterface
{
public:
    struct Options {
        std::function<std::size_t()> maxBodyBytes; // The largest body of a caller's request that the host accepts.
        std::uint64_t idSeed = 0; // For identifiers of requests that have none.
    };

    // The status and the JSON text of an answer.
    struct Answer {
        unsigned status = Core::HttpStatus::Ok;
        nlohmann::json body;
        std::string allowedMethods; // Of the path, if the method is wrong.
    };

    // The gateway must outlive the interface.
    GatewayOperatorInterface(const Gateway::Gateway &gateway, Options options);

    // Whether requests for the path belong to this interface.
    [[nodiscard]] static bool isResponsibleFor(std::string_view path);
    void handleRequest(Net::Exchange &exchange);
    [[nodiscard]] Answer answer(std::string_view method, std::string_view path, std::string_view body);

private:
    struct Route {
        std::string_view method;
        std::string_view path;
        Answer (GatewayOperatorInterface::*answer)(std::string_view body);
    };
    static std::span<const Route> routes();

    Answer describeAccounts(std::string_view body);
    Answer explainRequest(std::string_view body);

    const Gateway::Gateway &m_gateway;
    Options m_options;
    Core::IdSource m_ids;
};

}
