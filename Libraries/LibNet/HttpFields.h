#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Net {

// The lines of a message's head, in order, with names as they were sent.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

// Whether two header names are the same; their case does not count.
[[nodiscard]] bool isSameName(std::string_view left, std::string_view right);
// The value of the first line of that name, or an empty view.
[[nodiscard]] std::string_view valueOf(const HttpFields &fields, std::string_view name);

}
