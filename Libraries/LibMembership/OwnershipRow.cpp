#include <LibMembership/OwnershipRow.h>

#include <LibCore/Rendezvous.h>
#include <nlohmann/json.hpp>

namespace Membership {

namespace {

// The low bits of a fence distinguish hosts, and the other bits count ownerships. With 20 bits for the host, fences
// stay exact as JSON numbers.
constexpr unsigned HolderBits = 20;

nlohmann::json toJson(const std::vector<Core::AdapterVersion> &adapters)
{
    auto json = nlohmann::json::array();
    for (const auto &adapter : adapters) {
        json.push_back({adapter.adapter, adapter.version});
    }
    return json;
}

std::vector<Core::AdapterVersion> adaptersFromJson(const nlohmann::json &json)
{
    std::vector<Core::AdapterVersion> adapters;
    for (const auto &entry : json) {
        adapters.push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::string>()});
    }
    return adapters;
}

}

std::string toText(const OwnershipRow &row)
{
    auto previousHolders = nlohmann::json::array();
    for (const auto &previous : row.previousHolders) {
        previousHolders.push_back({{"host", previous.host.value},
                                   {"incarnation", previous.incarnation},
                                   {"allowance", toJson(previous.evictionAllowlist)}});
    }
    return nlohmann::json {{"owner", row.owner.value},
                           {"incarnation", row.incarnation},
                           {"session", row.session},
                           {"fence", row.fence},
                           {"allowance", toJson(row.evictionAllowlist)},
                           {"formers", previousHolders}}
        .dump();
}

OwnershipRow ownershipRowFromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text);
    OwnershipRow row {.owner = {json.at("owner").get<std::string>()},
                      .incarnation = json.at("incarnation").get<std::uint64_t>(),
                      .session = json.at("session").get<std::uint64_t>(),
                      .fence = json.at("fence").get<std::uint64_t>(),
                      .evictionAllowlist = adaptersFromJson(json.at("allowance"))};
    for (const auto &previous : json.at("formers")) {
        row.previousHolders.push_back({.host = {previous.at("host").get<std::string>()},
                                       .incarnation = previous.at("incarnation").get<std::uint64_t>(),
                                       .evictionAllowlist = adaptersFromJson(previous.at("allowance"))});
    }
    return row;
}

std::uint64_t nextFence(std::uint64_t previous, const Core::HostId &host, std::uint64_t incarnation)
{
    const auto holder = Core::stableHash(host.value, incarnation) & ((1ULL << HolderBits) - 1);
    return (((previous >> HolderBits) + 1) << HolderBits) | holder;
}

}
