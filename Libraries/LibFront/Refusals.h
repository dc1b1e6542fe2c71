#pragma once

#include <LibFront/CallerResponse.h>
#include <LibFront/EngineAttempt.h>
#include <LibTicket/TicketState.h>
#include <string>

namespace Front {

// The refusal of a request whose model can't be resolved for the customer.
[[nodiscard]] Refusal describe(Ticket::ResolveRefusal reason, const std::string &model);
// The refusal after a failure that isn't retried. The component is the ID of the owner or target that failed last.
[[nodiscard]] Refusal describe(const AttemptFailure &failure, const std::string &component, Outcome outcome);
// The refusal of a request that is quarantined because targets died while they ran it.
[[nodiscard]] Refusal describeQuarantine(Outcome outcome);

}
