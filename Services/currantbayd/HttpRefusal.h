#pragma once

#include <LibFront/CallerResponse.h>
#include <LibNet/HttpServer.h>
#include <nlohmann/json.hpp>

namespace Daemon {

// The body of a refusal: {"error": {"code", "message", "outcome", "advice"}}.
[[nodiscard]] inline nlohmann::json toJson(const Front::Refusal &refusal)
{
    return {{"error",
             {{"code", refusal.code},
              {"message", refusal.message},
              {"outcome", std::string(Front::toText(refusal.outcome))},
              {"advice", refusal.suggestedAction}}}};
}

// Responds with a refusal: status, outcome header, Retry-After where it applies, and a JSON body with a code for
// programs and a message for people.
inline void refuse(Net::Exchange &exchange, const Front::Refusal &refusal)
{
    Net::ResponseHead head {.status = refusal.status,
                            .headers = {{"Currantbay-Outcome", std::string(Front::toText(refusal.outcome))}}};
    if (refusal.retryAfterMilliseconds > 0) {
        const auto seconds = (refusal.retryAfterMilliseconds + 999) / 1000;
        head.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    exchange.respond(std::move(head), toJson(refusal).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}
