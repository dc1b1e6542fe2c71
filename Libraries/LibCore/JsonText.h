#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Core {

// Whether the bytes are valid UTF-8, and so can stand in a JSON string. Header fields, URLs, messages of other hosts
// and responses may hold any bytes.
[[nodiscard]] bool isUtf8(std::string_view bytes);

// The value as JSON text that people read. Bytes that aren't UTF-8 are replaced by U+FFFD.
[[nodiscard]] std::string toDisplayText(const nlohmann::json &json);

// The value as JSON text that another program acts on. No value if a string in it isn't UTF-8: with replaced bytes it
// would name something else.
[[nodiscard]] std::optional<std::string> toExactText(const nlohmann::json &json);

}
