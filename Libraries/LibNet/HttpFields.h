#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Net {

// The header fields of a message in their original order, with names spelled as sent.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

// Compares two header names without regard to case.
[[nodiscard]] bool isSameName(std::string_view left, std::string_view right);
// Returns the value of the first field with that name, or an empty view.
[[nodiscard]] std::string_view valueOf(const HttpFields &fields, std::string_view name);

}
