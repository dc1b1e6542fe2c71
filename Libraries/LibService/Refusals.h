#pragma once

#include <LibFront/CallerResponse.h>
#include <LibLedger/ClaimRequest.h>

namespace Service {

// The refusals of calls to plain services, each saying whether the call ran and what its caller can do.
[[nodiscard]] Front::Refusal unknownRoute(const std::string &route);
[[nodiscard]] Front::Refusal missingKey(const std::string &method);
[[nodiscard]] Front::Refusal noTarget(const std::string &service, const std::string &lastError);
[[nodiscard]] Front::Refusal noTimeLeft();
// The call may have run; a repeat with the same key settles it, or tells the recorded answer.
[[nodiscard]] Front::Refusal unsettled(const std::string &reason);
// An idempotent call whose answers were all lost.
[[nodiscard]] Front::Refusal lostAnswer(const std::string &reason);
[[nodiscard]] Front::Refusal resultLeftOut();
// For claims that gave neither a held attempt nor a recorded result.
[[nodiscard]] Front::Refusal refusalOf(const Ledger::ClaimResult &claim);

}
