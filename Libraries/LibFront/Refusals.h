#pragma once

#include <LibFront/CallerResponse.h>
#include <LibFront/EngineAttempt.h>
#include <LibTicket/TicketState.h>
#include <string>

namespace Front {

// What the caller is told when the tickets don't let it reach the model.
[[nodiscard]] Refusal describe(Ticket::ResolveRefusal reason, const std::string &model);
// What the caller is told when its request is given up; the place names the owner or target that failed last.
[[nodiscard]] Refusal describe(const AttemptFailure &failure, const std::string &place, Outcome outcome);
// What the caller is told when targets have died while they ran the request.
[[nodiscard]] Refusal describeQuarantine(Outcome outcome);

}
