#include <LibGateway/Refusal.h>

#include <LibCore/JsonText.h>

namespace Gateway {

void refuse(Net::Exchange &exchange, const Refusal &refusal)
{
    refuse(exchange, refusal.status, refusal.reason, refusal.retryAfter);
}

void refuse(Net::Exchange &exchange, unsigned status, std::string_view reason, std::optional<Core::Duration> retryAfter)
{
    const nlohmann::json body {{"error", {{"message", "the request did not run: " + std::string(reason)}}}};
    Net::ResponseHead head {.status = status};
    if (retryAfter.has_value()) {
        head.headers.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(*retryAfter).count()));
    }
    exchange.respond(std::move(head), Core::toDisplayText(body));
}

}
