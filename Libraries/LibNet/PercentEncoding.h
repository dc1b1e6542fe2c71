#pragma once

#include <string>
#include <string_view>

namespace Net {

// Percent-encodes a text for use as a segment of a URL's path or as a value in its query.
[[nodiscard]] std::string percentEncode(std::string_view text);

}
