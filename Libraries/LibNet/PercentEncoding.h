#pragma once

#include <string>
#include <string_view>

namespace Net {

// The text as it may stand in one segment of a URL's path or as one value of its query.
[[nodiscard]] std::string percentEncode(std::string_view text);

}
