#include <LibService/Refusals.h>

#include <LibCore/HttpStatus.h>

namespace Service {

namespace {

constexpr std::int64_t RetryAfterMilliseconds = 1000;
constexpr auto RetryAction = "send the call again after the time in Retry-After";

}

Front::Refusal unknownRoute(const std::string &route)
{
    return {.status = Core::HttpStatus::NotFound,
            .code = "unknown-route",
            .message = "no service is configured for /" + route,
            .suggestedAction = "check the path"};
}

Front::Refusal missingKey(const std::string &method)
{
    return {.status = Core::HttpStatus::BadRequest,
            .code = "missing-idempotency-key",
            .message = method
                + " isn't idempotent on this route and requires the header Idempotency-Key with 1 to 128 printable "
                  "characters without spaces",
            .suggestedAction = "send a new key with each call, and the same key with each retry of that call"};
}

Front::Refusal noTarget(const std::string &service, const std::string &lastError)
{
    return {.status = Core::HttpStatus::ServiceUnavailable,
            .code = "no-target",
            .message = "no target of service \"" + service + "\" could be reached"
                + (lastError.empty() ? "" : "; last error: " + lastError),
            .suggestedAction = RetryAction,
            .retryAfterMilliseconds = RetryAfterMilliseconds};
}

Front::Refusal noTimeLeft()
{
    return {.status = Core::HttpStatus::ServiceUnavailable,
            .code = "too-late",
            .message = "the deadline passed before the call was sent",
            .suggestedAction = RetryAction,
            .retryAfterMilliseconds = RetryAfterMilliseconds};
}

Front::Refusal unresolved(const std::string &reason)
{
    return {.status = Core::HttpStatus::GatewayTimeout,
            .outcome = Front::Outcome::Unknown,
            .code = "unsettled",
            .message = reason,
            .suggestedAction = "send the call again with the same Idempotency-Key; it will not run twice",
            .retryAfterMilliseconds = RetryAfterMilliseconds};
}

Front::Refusal lostResponse(const std::string &reason)
{
    return {.status = Core::HttpStatus::BadGateway,
            .outcome = Front::Outcome::Unknown,
            .code = "answer-lost",
            .message = reason,
            .suggestedAction = RetryAction,
            .retryAfterMilliseconds = RetryAfterMilliseconds};
}

Front::Refusal resultNotStored()
{
    return {.status = Core::HttpStatus::UnprocessableContent,
            .outcome = Front::Outcome::Completed,
            .code = "result-too-large",
            .message = "the call has already run, and its response was too large to be stored",
            .suggestedAction = "query the service for the effect of the call"};
}

Front::Refusal refusalOf(const Ledger::ClaimResult &claim)
{
    switch (claim.outcome) {
    case Ledger::ClaimOutcome::KeyReused:
        return {.status = Core::HttpStatus::UnprocessableContent,
                .code = "key-reused",
                .message = claim.reason,
                .suggestedAction = "use a new Idempotency-Key for another request"};
    case Ledger::ClaimOutcome::Shed:
    case Ledger::ClaimOutcome::Unavailable:
        return {.status = Core::HttpStatus::ServiceUnavailable,
                .code = claim.outcome == Ledger::ClaimOutcome::Shed ? "overloaded" : "table-service-silent",
                .message = claim.reason,
                .suggestedAction = RetryAction,
                .retryAfterMilliseconds = RetryAfterMilliseconds};
    case Ledger::ClaimOutcome::Held:
    case Ledger::ClaimOutcome::Recorded:
    case Ledger::ClaimOutcome::Unknown:
        break;
    }
    return unresolved(claim.reason);
}

}
