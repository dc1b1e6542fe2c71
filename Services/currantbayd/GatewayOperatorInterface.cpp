#include <currantbayd/GatewayOperatorInterface.h>

#include <LibCore/JsonText.h>
#include <algorithm>
#include <array>
#include <currantbayd/AccountsAnswer.h>
#include <currantbayd/WhereAnswer.h>
#include <currantbayd/WhereRequest.h>

namespace Daemon {

namespace {

constexpr std::string_view PathPrefix = "/operator/";

GatewayOperatorInterface::Answer error(unsigned status, std::string_view text)
{
    return {.status = status, .body = {{"error", text}}};
}

}

GatewayOperatorInterface::GatewayOperatorInterface(const Gateway::Gateway &gateway, Options options)
    : m_gateway(gateway)
    , m_options(options)
    , m_ids(options.idSeed)
{
}

std::span<const GatewayOperatorInterface::Route> GatewayOperatorInterface::routes()
{
    static constexpr std::array Routes {
        Route {"GET", "/operator/accounts", &GatewayOperatorInterface::describeAccounts},
        Route {"POST", "/operator/where", &GatewayOperatorInterface::explainRequest},
    };
    return Routes;
}

bool GatewayOperatorInterface::isResponsibleFor(std::string_view path)
{
    return path.starts_with(PathPrefix);
}

void GatewayOperatorInterface::handleRequest(Net::Exchange &exchange)
{
    const auto &request = exchange.request();
    auto [status, body, allowedMethods] = answer(request.method, request.path, request.body);
    Net::ResponseHead head {.status = status};
    if (!allowedMethods.empty()) {
        head.headers.emplace_back("Allow", std::move(allowedMethods));
    }
    exchange.respond(std::move(head), Core::toDisplayText(body));
}

GatewayOperatorInterface::Answer GatewayOperatorInterface::answer(std::string_view method, std::string_view path,
                                                                  std::string_view body)
{
    std::string allowedMethods;
    for (const auto &route : routes()) {
        if (route.path != path) {
            continue;
        }
        if (route.method == method) {
            return (this->*route.answer)(body);
        }
        allowedMethods += (allowedMethods.empty() ? "" : ", ") + std::string(route.method);
    }
    if (allowedMethods.empty()) {
        return error(Core::HttpStatus::NotFound, "there is no such path");
    }
    auto refused = error(Core::HttpStatus::MethodNotAllowed, "the path has another method: " + allowedMethods);
    refused.allowedMethods = std::move(allowedMethods);
    return refused;
}

GatewayOperatorInterface::Answer GatewayOperatorInterface::describeAccounts(std::string_view /*body*/)
{
    return {.body = accountsAnswer(m_gateway.accountOverview())};
}

GatewayOperatorInterface::Answer GatewayOperatorInterface::explainRequest(std::string_view body)
{
    WhereRequest request;
    try {
        request = WhereRequest::fromJson(body);
    } catch (const UnreadableWhereRequest &unreadable) {
        return error(Core::HttpStatus::BadRequest, unreadable.what());
    }
    auto explanation = m_gateway.explainRequest(
        request.head, {.account = request.account, .bodyBytes = request.bodyBytes, .fallbackId = m_ids.next("where")});
    if (auto refusal = request.refusalByServer(m_options.maxBodyBytes()); refusal.has_value()) {
        explanation.refusal = std::move(refusal);
    }
    return {.body = toJson(explanation)};
}

}
