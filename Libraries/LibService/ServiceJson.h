#pragma once

#include <LibLedger/FenceVerdict.h>
#include <nlohmann/json.hpp>

namespace Service {

// The HTTP status and body of a service's response to an attempt that was fenced.
inline constexpr unsigned StatusFenced = 412;
[[nodiscard]] nlohmann::json fencedRefusal();
[[nodiscard]] bool isFencedRefusal(unsigned status, const std::string &body);

// The body of a service's response to POST <fencePath>/<attempt>/fence: {"state": "ran" | "running" | "fenced",
// "result": {"status", "contentType", "body"}}. Any other body is parsed as Unreachable.
[[nodiscard]] Ledger::FenceVerdict fenceVerdictFromText(const std::string &text);
[[nodiscard]] nlohmann::json toJson(const Ledger::FenceVerdict &verdict);

}
