#pragma once

#include <LibFront/CallerResponse.h>
#include <LibLedger/ClaimRequest.h>

namespace Service {

// The refusals of calls to application services. Each says whether the call ran and what the caller can do.
[[nodiscard]] Front::Refusal unknownRoute(const std::string &route);
[[nodiscard]] Front::Refusal missingKey(const std::string &method);
[[nodiscard]] Front::Refusal noTarget(const std::string &service, const std::string &lastError);
[[nodiscard]] Front::Refusal noTimeLeft();
// The call may have run. A retry with the same key resolves the outcome or returns the recorded response.
[[nodiscard]] Front::Refusal unresolved(const std::string &reason);
// The responses to all attempts of an idempotent call were lost.
[[nodiscard]] Front::Refusal lostResponse(const std::string &reason);
[[nodiscard]] Front::Refusal resultNotStored();
// For claims that led neither to an attempt that may be sent nor to a recorded result.
[[nodiscard]] Front::Refusal refusalOf(const Ledger::ClaimResult &claim);

}
