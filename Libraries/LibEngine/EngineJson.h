#pragma once

#include <LibEngine/EngineLink.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Engine {

// Converts the messages of the engines' HTTP interface to and from JSON. Reading throws nlohmann::json::exception when
// a field is missing or has the wrong type.
[[nodiscard]] nlohmann::json toJson(const AdapterOrder &order);
[[nodiscard]] AdapterOrder orderFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const EngineStatus &status);
[[nodiscard]] EngineStatus statusFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const GenerateRequest &request);
[[nodiscard]] GenerateRequest generateRequestFromJson(const nlohmann::json &json);
// Formats an event as one line of a stream, without the line feed.
[[nodiscard]] std::string toLine(const StreamEvent &event);
[[nodiscard]] StreamEvent eventFromLine(std::string_view line);

}
