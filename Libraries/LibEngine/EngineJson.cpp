#include <LibEngine/EngineJson.h>

namespace Engine {

namespace {

nlohmann::json adapterToJson(const Core::AdapterVersion &adapter)
{
    return {{"name", adapter.adapter}, {"version", adapter.version}};
}

Core::AdapterVersion adapterFromJson(const nlohmann::json &json)
{
    return {.adapter = json.at("name").get<std::string>(), .version = json.at("version").get<std::string>()};
}

struct LineWriter {
    nlohmann::json operator()(const StreamHead &head) const
    {
        return {{"head", true},
                {"attempt", head.attempt.value},
                {"adapter", adapterToJson(head.adapter)},
                {"incarnation", head.incarnation}};
    }
    nlohmann::json operator()(const StreamToken &token) const
    {
        return {{"attempt", token.attempt.value}, {"index", token.index}, {"text", token.text}};
    }
    nlohmann::json operator()(const StreamEnd &end) const
    {
        return {{"end", true}, {"attempt", end.attempt.value}, {"count", end.tokenCount}};
    }
    nlohmann::json operator()(const StreamRefusal &refusal) const
    {
        return {{"refused", refusal.reason}};
    }
    nlohmann::json operator()(const StreamFailure &failure) const
    {
        return {{"broken", failure.reason}};
    }
};

}

nlohmann::json toJson(const AdapterOrder &order)
{
    return {{"adapter", adapterToJson(order.adapter)}, {"fence", order.fence}, {"incarnation", order.incarnation}};
}

AdapterOrder orderFromJson(const nlohmann::json &json)
{
    return {.adapter = adapterFromJson(json.at("adapter")),
            .fence = json.at("fence").get<std::uint64_t>(),
            .incarnation = json.value("incarnation", std::string())};
}

nlohmann::json toJson(const EngineStatus &status)
{
    auto slots = nlohmann::json::array();
    for (const auto &[adapter, running] : status.slots) {
        slots.push_back({{"adapter", adapterToJson(adapter)}, {"running", running}});
    }
    return {
        {"incarnation", status.incarnation}, {"slotCount", status.slotCount},   {"batchCapacity", status.batchCapacity},
        {"running", status.runningRequests}, {"queued", status.queuedRequests}, {"leaving", status.isLeaving},
        {"slots", std::move(slots)}};
}

EngineStatus statusFromJson(const nlohmann::json &json)
{
    EngineStatus status {.incarnation = json.at("incarnation").get<std::string>(),
                         .slotCount = json.at("slotCount").get<std::uint32_t>(),
                         .batchCapacity = json.at("batchCapacity").get<std::uint32_t>(),
                         .runningRequests = json.at("running").get<std::uint32_t>(),
                         .queuedRequests = json.at("queued").get<std::uint32_t>(),
                         .isLeaving = json.at("leaving").get<bool>()};
    for (const auto &slot : json.at("slots")) {
        status.slots.push_back({.adapter = adapterFromJson(slot.at("adapter")),
                                .runningRequests = slot.at("running").get<std::uint32_t>()});
    }
    return status;
}

nlohmann::json toJson(const GenerateRequest &request)
{
    return {{"attempt", request.attempt.value},
            {"adapter", adapterToJson(request.adapter)},
            {"prompt", request.prompt},
            {"mostTokens", request.maxTokens},
            {"offset", request.offset},
            {"priority", request.priority},
            {"patienceMilliseconds", request.timeoutMilliseconds}};
}

GenerateRequest generateRequestFromJson(const nlohmann::json &json)
{
    return {.attempt = {json.at("attempt").get<std::string>()},
            .adapter = adapterFromJson(json.at("adapter")),
            .prompt = json.at("prompt").get<std::string>(),
            .maxTokens = json.at("mostTokens").get<std::uint32_t>(),
            .offset = json.at("offset").get<std::uint32_t>(),
            .priority = json.at("priority").get<std::int32_t>(),
            .timeoutMilliseconds = json.value("patienceMilliseconds", std::int64_t(0))};
}

std::string toLine(const StreamEvent &event)
{
    return std::visit(LineWriter {}, event).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

StreamEvent eventFromLine(std::string_view line)
{
    const auto json = nlohmann::json::parse(line);
    if (json.contains("head")) {
        return StreamHead {.attempt = {json.at("attempt").get<std::string>()},
                           .adapter = adapterFromJson(json.at("adapter")),
                           .incarnation = json.at("incarnation").get<std::string>()};
    }
    if (json.contains("end")) {
        return StreamEnd {.attempt = {json.at("attempt").get<std::string>()},
                          .tokenCount = json.at("count").get<std::uint32_t>()};
    }
    return StreamToken {.attempt = {json.at("attempt").get<std::string>()},
                        .index = json.at("index").get<std::uint32_t>(),
                        .text = json.at("text").get<std::string>()};
}

}
