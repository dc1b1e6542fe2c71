#include <LibPlatform/PlatformJson.h>

namespace Platform {

NLOHMANN_JSON_SERIALIZE_ENUM(MachineKind,
                             {{MachineKind::EntryHost, "entry"},
                              {MachineKind::Engine, "engine"},
                              {MachineKind::Service, "service"}})
NLOHMANN_JSON_SERIALIZE_ENUM(MachineState, {{MachineState::Live, "live"}, {MachineState::Leaving, "leaving"}})

nlohmann::json toJson(const Transaction &transaction)
{
    auto json = nlohmann::json {{"conditions", nlohmann::json::array()},
                                {"puts", nlohmann::json::array()},
                                {"deletions", nlohmann::json::array()}};
    for (const auto &[table, key, version] : transaction.conditions) {
        json["conditions"].push_back({{"table", table}, {"key", key}, {"version", version}});
    }
    for (const auto &[table, key, value] : transaction.puts) {
        json["puts"].push_back({{"table", table}, {"key", key}, {"value", value}});
    }
    for (const auto &[table, key] : transaction.deletions) {
        json["deletions"].push_back({{"table", table}, {"key", key}});
    }
    return json;
}

Transaction transactionFromJson(const nlohmann::json &json)
{
    Transaction transaction;
    for (const auto &condition : json.at("conditions")) {
        transaction.conditions.push_back({.table = condition.at("table").get<std::string>(),
                                          .key = condition.at("key").get<std::string>(),
                                          .version = condition.at("version").get<std::uint64_t>()});
    }
    for (const auto &put : json.at("puts")) {
        transaction.puts.push_back({.table = put.at("table").get<std::string>(),
                                    .key = put.at("key").get<std::string>(),
                                    .value = put.at("value").get<std::string>()});
    }
    for (const auto &deletion : json.at("deletions")) {
        transaction.deletions.push_back(
            {.table = deletion.at("table").get<std::string>(), .key = deletion.at("key").get<std::string>()});
    }
    return transaction;
}

nlohmann::json toJson(const Row &row)
{
    return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

Row rowFromJson(const nlohmann::json &json)
{
    return {.key = json.at("key").get<std::string>(),
            .version = json.at("version").get<std::uint64_t>(),
            .value = json.at("value").get<std::string>()};
}

nlohmann::json toJson(const ListedMachine &machine)
{
    return {{"kind", machine.kind},
            {"state", machine.state},
            {"name", machine.name},
            {"zone", machine.zone.value},
            {"address", machine.address},
            {"role", machine.role},
            {"checksFence", machine.fenceChecking == FenceChecking::Checks}};
}

ListedMachine machineFromJson(const nlohmann::json &json)
{
    return {.kind = json.at("kind").get<MachineKind>(),
            .state = json.at("state").get<MachineState>(),
            .name = json.at("name").get<std::string>(),
            .zone = {json.at("zone").get<std::string>()},
            .address = json.at("address").get<std::string>(),
            .role = json.at("role").get<std::string>(),
            .fenceChecking = json.at("checksFence").get<bool>() ? FenceChecking::Checks : FenceChecking::Ignores};
}

}
