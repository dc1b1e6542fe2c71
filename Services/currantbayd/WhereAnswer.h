#pragma once

#include <LibGateway/RequestExplanation.h>
#include <nlohmann/json.hpp>

namespace Daemon {

// The answer to the question where a request would go. Durations are in milliseconds. Members that don't apply, or were
// not reached because of a refusal, are absent. No account's key is in it.
[[nodiscard]] nlohmann::json toJson(const Gateway::RequestExplanation &explanation);

}
