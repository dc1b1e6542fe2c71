#include <LibCore/JsonText.h>

namespace Core {

bool isUtf8(std::string_view bytes)
{
    return toExactText(std::string(bytes)).has_value();
}

std::string toDisplayText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::string> toExactText(const nlohmann::json &json)
{
    try {
        return json.dump();
    } catch (const nlohmann::json::type_error &) {
        return std::nullopt;
    }
}

}
