#pragma once

#include <LibNet/HttpClient.h>
#include <optional>
#include <string_view>

namespace Gateway {

// What makes a request's head ambiguous, so that another server could see different bounds of its body; without a value
// it is clear. Such a request isn't passed on.
[[nodiscard]] std::optional<std::string_view> framingFault(const Net::HttpFields &fields);

}
