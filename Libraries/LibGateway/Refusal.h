#pragma once

#include <LibNet/HttpServer.h>
#include <optional>
#include <string_view>

namespace Gateway {

// Answers that the request did not run and why, and when to come back where that helps.
void refuse(Net::Exchange &exchange, unsigned status, std::string_view reason,
            std::optional<Core::Duration> retryAfter);

}
