#include <LibMembership/HostRecord.h>

#include <nlohmann/json.hpp>

namespace Membership {

std::string toText(const HostRecord &record)
{
    return nlohmann::json {{"id", record.id.value},
                           {"zone", record.zone.value},
                           {"peerAddress", record.peerAddress},
                           {"callerAddress", record.callerAddress},
                           {"incarnation", record.incarnation},
                           {"ticketSequence", record.ticketSequence},
                           {"leaving", record.isLeaving},
                           {"renewal", record.renewal},
                           {"termMilliseconds", record.term.count()}}
        .dump();
}

HostRecord hostRecordFromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text);
    return {.id = {json.at("id").get<std::string>()},
            .zone = {json.at("zone").get<std::string>()},
            .peerAddress = json.at("peerAddress").get<std::string>(),
            .callerAddress = json.at("callerAddress").get<std::string>(),
            .incarnation = json.at("incarnation").get<std::uint64_t>(),
            .ticketSequence = json.at("ticketSequence").get<std::uint64_t>(),
            .isLeaving = json.at("leaving").get<bool>(),
            .renewal = json.at("renewal").get<std::uint64_t>(),
            .term = std::chrono::milliseconds(json.at("termMilliseconds").get<std::int64_t>())};
}

}
