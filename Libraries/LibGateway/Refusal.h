#pragma once

#include <LibNet/HttpServer.h>
#include <optional>
#include <string_view>

namespace Gateway {

// Responds that the request did not run, with the reason, and with a Retry-After header if a delay is given.
void refuse(Net::Exchange &exchange, unsigned status, std::string_view reason,
            std::optional<Core::Duration> retryAfter);

}
