#pragma once

#include <LibPlatform/HostList.h>
#include <LibPlatform/TableService.h>
#include <nlohmann/json.hpp>

namespace Platform {

// The JSON forms of the platform's HTTP interface. Reading throws nlohmann::json::exception on a wrong shape.
[[nodiscard]] nlohmann::json toJson(const Transaction &transaction);
[[nodiscard]] Transaction transactionFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const Row &row);
[[nodiscard]] Row rowFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const ListedMachine &machine);
[[nodiscard]] ListedMachine machineFromJson(const nlohmann::json &json);

}
