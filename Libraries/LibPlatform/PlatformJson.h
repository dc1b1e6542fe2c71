#pragma once

#include <LibPlatform/HostList.h>
#include <LibPlatform/TableService.h>
#include <nlohmann/json.hpp>

namespace Platform {

// Conversions to and from the JSON of the platform's HTTP interface. The functions that read JSON throw
// nlohmann::json::exception if a field is missing or has the wrong type.
[[nodiscard]] nlohmann::json toJson(const Transaction &transaction);
[[nodiscard]] Transaction transactionFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const Row &row);
[[nodiscard]] Row rowFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const ListedMachine &machine);
[[nodiscard]] ListedMachine machineFromJson(const nlohmann::json &json);

}
