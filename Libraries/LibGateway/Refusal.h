#pragma once

#include <LibCore/HttpStatus.h>
#include <LibNet/HttpServer.h>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

// Why a request is refused without having run.
struct Refusal {
    unsigned status = Core::HttpStatus::ServiceUnavailable;
    std::string reason;
    std::optional<Core::Duration> retryAfter; // When it is worth sending again.
};

// Responds that the request did not run, with the reason, and with a Retry-After header if a delay is given.
void refuse(Net::Exchange &exchange, const Refusal &refusal);
void refuse(Net::Exchange &exchange, unsigned status, std::string_view reason,
            std::optional<Core::Duration> retryAfter);

}
