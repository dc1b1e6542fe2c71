#include <LibHolding/HoldingRows.h>

#include <nlohmann/json.hpp>

namespace Holding {

namespace {

constexpr std::string_view HostPrefix = "host/";
constexpr std::string_view HolderPrefix = "holder/";

}

std::string hostKey(const Core::HostId &host)
{
    return std::string(HostPrefix) + host.value;
}

std::string holderKey(const Core::TargetId &replica)
{
    return std::string(HolderPrefix) + replica.value;
}

bool isHostKey(std::string_view key)
{
    return key.starts_with(HostPrefix);
}

std::string toText(const HostRow &row)
{
    return nlohmann::json {{"host", row.host.value},         {"zone", row.zone.value}, {"peerAddress", row.peerAddress},
                           {"incarnation", row.incarnation}, {"renewal", row.renewal}, {"weight", row.weight}}
        .dump();
}

std::string toText(const HolderRow &row)
{
    return nlohmann::json {{"replica", row.replica.value},
                           {"holder", row.holder.value},
                           {"incarnation", row.incarnation},
                           {"formerHolder", row.previousHolder.value}}
        .dump();
}

std::optional<HostRow> hostRowFromText(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return HostRow {.host = {json.at("host").get<std::string>()},
                        .zone = {json.at("zone").get<std::string>()},
                        .peerAddress = json.at("peerAddress").get<std::string>(),
                        .incarnation = json.at("incarnation").get<std::uint64_t>(),
                        .renewal = json.at("renewal").get<std::uint64_t>(),
                        .weight = json.at("weight").get<double>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::optional<HolderRow> holderRowFromText(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return HolderRow {.replica = {json.at("replica").get<std::string>()},
                          .holder = {json.at("holder").get<std::string>()},
                          .incarnation = json.at("incarnation").get<std::uint64_t>(),
                          .previousHolder = {json.at("formerHolder").get<std::string>()}};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

}
