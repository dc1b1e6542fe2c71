#pragma once

#include <LibNet/HttpRequest.h>
#include <optional>
#include <string_view>

namespace Gateway {

// Describes why the head of a request is malformed or ambiguous, so that another server could read different limits of
// its body (request smuggling). Such a request isn't forwarded. Empty if the head is unambiguous.
[[nodiscard]] std::optional<std::string_view> framingError(const Net::HttpFields &fields);

}
