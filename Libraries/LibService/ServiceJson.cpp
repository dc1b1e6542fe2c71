#include <LibService/ServiceJson.h>

namespace Service {

namespace {

using State = Ledger::FenceVerdict::State;

NLOHMANN_JSON_SERIALIZE_ENUM(
    State, {{State::Unreachable, nullptr}, {State::Running, "running"}, {State::Ran, "ran"}, {State::Fenced, "fenced"}})

}

nlohmann::json fencedRefusal()
{
    return {{"error", {{"code", "attempt-fenced"}}}};
}

bool isFencedRefusal(unsigned status, const std::string &body)
{
    return status == StatusFenced && nlohmann::json::parse(body, nullptr, false) == fencedRefusal();
}

Ledger::FenceVerdict fenceVerdictFromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Ledger::FenceVerdict verdict;
        from_json(json.at("state"), verdict.state);
        if (verdict.state == State::Ran) {
            const auto &result = json.at("result");
            verdict.result = {.status = result.at("status").get<unsigned>(),
                              .contentType = result.at("contentType").get<std::string>(),
                              .body = result.at("body").get<std::string>()};
        }
        return verdict;
    } catch (const nlohmann::json::exception &) {
        return {};
    }
}

nlohmann::json toJson(const Ledger::FenceVerdict &verdict)
{
    nlohmann::json json;
    to_json(json["state"], verdict.state);
    if (verdict.state == State::Ran) {
        json["result"] = {{"status", verdict.result.status},
                          {"contentType", verdict.result.contentType},
                          {"body", verdict.result.body}};
    }
    return json;
}

}
