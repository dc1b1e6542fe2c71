#pragma once

#include <LibLedger/FenceVerdict.h>
#include <nlohmann/json.hpp>

namespace Service {

// The status and the body by which a service refuses an attempt that was fenced.
inline constexpr unsigned StatusFenced = 412;
[[nodiscard]] nlohmann::json fencedRefusal();
[[nodiscard]] bool isFencedRefusal(unsigned status, const std::string &body);

// A service's answer to POST <fencePath>/<attempt>/fence: {"state": "ran" | "running" | "fenced", "result":
// {"status", "contentType", "body"}}. A body that is none of these is Unreachable.
[[nodiscard]] Ledger::FenceVerdict fenceVerdictFromText(const std::string &text);
[[nodiscard]] nlohmann::json toJson(const Ledger::FenceVerdict &verdict);

}
