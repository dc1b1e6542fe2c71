#include <currantbayd/WhereAnswer.h>

#include <array>

namespace Daemon {

namespace {

using Json = nlohmann::json;

double milliseconds(Core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string_view nameOf(Gateway::Exclusion exclusion)
{
    using Gateway::Exclusion;
    switch (exclusion) {
    case Exclusion::None:
        return "none";
    case Exclusion::Leaving:
        return "leaving";
    case Exclusion::ModelNotLoaded:
        return "model-not-loaded";
    case Exclusion::Paused:
        return "paused";
    case Exclusion::FullAfterPause:
        return "full-after-pause";
    case Exclusion::AtRequestLimit:
        return "at-request-limit";
    case Exclusion::NotAdmitted:
        return "not-admitted";
    }
    return {};
}

std::string_view adapterState(const Placement::Candidate &state)
{
    switch (state.residency) {
    case Placement::Residency::Resident:
        return "in-memory";
    case Placement::Residency::Absent:
        return state.isCached ? "cached" : "absent";
    case Placement::Residency::Unloadable:
        return "cannot-load";
    }
    return {};
}

// The parts of the expected delay under their names.
struct DelayPart {
    const char *name;
    Core::Duration Placement::ReplicaCost::*part;
};
constexpr std::array DelayParts {DelayPart {"work", &Placement::ReplicaCost::work},
                                 DelayPart {"slowness", &Placement::ReplicaCost::slowness},
                                 DelayPart {"failures", &Placement::ReplicaCost::failures},
                                 DelayPart {"rank", &Placement::ReplicaCost::rank},
                                 DelayPart {"zone", &Placement::ReplicaCost::zone},
                                 DelayPart {"queue", &Placement::ReplicaCost::queue},
                                 DelayPart {"crowding", &Placement::ReplicaCost::crowding},
                                 DelayPart {"pause", &Placement::ReplicaCost::pause},
                                 DelayPart {"load", &Placement::ReplicaCost::load},
                                 DelayPart {"unloadable", &Placement::ReplicaCost::unloadable},
                                 DelayPart {"blocked", &Placement::ReplicaCost::blocked}};

void addCost(Json &json, const Placement::CandidateCost &cost)
{
    json["isCompared"] = cost.isCompared;
    json["homeRank"] = cost.rank;
    json["expectedDelayMs"] = milliseconds(cost.cost.total());
    auto &parts = json["delayPartsMs"] = Json::object();
    for (const auto &[name, part] : DelayParts) {
        parts[name] = milliseconds(cost.cost.*part);
    }
}

Json describeReplica(const Gateway::ReplicaExplanation &replica, bool needsAdapter)
{
    const auto &state = replica.state;
    Json json {{"replica", state.replica.value},
               {"zone", state.zone.value},
               {"exclusion", nameOf(replica.exclusion)},
               {"slots", state.slots},
               {"active", state.active},
               {"waitingPromptTokens", state.waitingTokens},
               {"usedMemoryTokens", state.usedTokens},
               {"memoryTokens", state.memoryTokens},
               {"speed", state.speed},
               {"failurePenaltyMs", milliseconds(state.penalty)},
               {"isBlocked", state.isBlocked},
               {"isPaused", replica.pauseLeft.has_value()},
               {"usedRequestLimit", replica.usedRequestLimit},
               {"usedReturnLimit", replica.usedReturnLimit},
               {"isReturning", replica.isReturning},
               {"hasReturnRoom", replica.hasReturnRoom},
               {"admissionShare", replica.admissionShare},
               {"isAdmitted", replica.isAdmitted},
               {"isCompared", false}};
    if (needsAdapter) {
        json["adapterState"] = adapterState(state);
    }
    if (replica.residentVersion.has_value()) {
        json["adapterVersion"] = *replica.residentVersion;
    }
    if (replica.pauseLeft.has_value()) {
        json["pauseLeftMs"] = milliseconds(*replica.pauseLeft);
    }
    if (replica.cost.has_value()) {
        addCost(json, *replica.cost);
    }
    return json;
}

Json describeAccount(const Gateway::AccountExplanation &account, std::optional<int> priority)
{
    Json json {{"name", account.name}, {"cost", account.cost}};
    if (priority.has_value()) {
        json["priority"] = *priority;
    }
    if (account.isLimited) {
        json["allowance"] = {{"ratePerSecond", account.ratePerSecond},
                             {"burst", account.burst},
                             {"unit", account.unit == Routes::AllowanceUnit::Tokens ? "tokens" : "requests"}};
    }
    return json;
}

Json describeRefusal(const Gateway::Refusal &refusal)
{
    Json json {{"status", refusal.status}, {"reason", refusal.reason}};
    if (refusal.retryAfter.has_value()) {
        json["retryAfterMs"] = Core::toMilliseconds(*refusal.retryAfter);
    }
    return json;
}

void addRoute(Json &json, const Gateway::RequestExplanation &explanation)
{
    const auto &fleet = explanation.fleet;
    json["route"] = explanation.route;
    json["service"] = explanation.service;
    if (!fleet.adapter.empty()) {
        json["adapter"] = {{"name", fleet.adapter}, {"newestVersion", fleet.newestVersion}};
    }
    auto &candidates = json["candidates"] = Json::array();
    for (const auto &replica : fleet.replicas) {
        candidates.push_back(describeReplica(replica, !fleet.adapter.empty()));
    }
    if (fleet.passedOver.has_value()) {
        json["passedOver"] = fleet.replicas[*fleet.passedOver].state.replica.value;
    }
}

}

Json toJson(const Gateway::RequestExplanation &explanation)
{
    Json json {{"host", explanation.host.value}, {"zone", explanation.zone.value}};
    if (explanation.configuration.has_value()) {
        json["configuration"] = *explanation.configuration;
    }
    if (!explanation.requestId.empty()) {
        json["request"] = {{"id", explanation.requestId}, {"isIdMadeUp", explanation.isIdMadeUp}};
    }
    if (!explanation.route.empty()) {
        addRoute(json, explanation);
    }
    if (explanation.account.has_value()) {
        json["account"] = describeAccount(*explanation.account, explanation.priority);
    }
    if (explanation.priority.has_value()) {
        json["priority"] = *explanation.priority;
    }
    if (const auto *choice = explanation.choice(); choice != nullptr) {
        json["choice"] = choice->state.replica.value;
    } else if (explanation.refusal.has_value()) {
        json["refusal"] = describeRefusal(*explanation.refusal);
    }
    return json;
}

}
