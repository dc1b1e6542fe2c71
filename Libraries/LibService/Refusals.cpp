#include <LibService/Refusals.h>

#include <LibCore/HttpStatus.h>

namespace Service {

namespace {

constexpr std::int64_t RetryMilliseconds = 1000;
constexpr auto RepeatAdvice = "send the call again after the time in Retry-After";

}

Front::Refusal unknownRoute(const std::string &route)
{
    return {.status = Core::HttpStatus::NotFound,
            .code = "unknown-route",
            .message = "no service is reached under /" + route,
            .suggestedAction = "check the path"};
}

Front::Refusal missingKey(const std::string &method)
{
    return {.status = Core::HttpStatus::BadRequest,
            .code = "missing-idempotency-key",
            .message = method
                + " runs at most once here and needs the header Idempotency-Key, of 1 to 128 printable "
                  "characters without spaces",
            .suggestedAction = "send a key that is new for each call and the same when that call is repeated"};
}

Front::Refusal noTarget(const std::string &service, const std::string &lastError)
{
    return {.status = Core::HttpStatus::ServiceUnavailable,
            .code = "no-target",
            .message = "no target of service \"" + service + "\" could be reached"
                + (lastError.empty() ? "" : "; the last one: " + lastError),
            .suggestedAction = RepeatAdvice,
            .retryAfterMilliseconds = RetryMilliseconds};
}

Front::Refusal noTimeLeft()
{
    return {.status = Core::HttpStatus::ServiceUnavailable,
            .code = "too-late",
            .message = "the call's time ended before it was sent",
            .suggestedAction = RepeatAdvice,
            .retryAfterMilliseconds = RetryMilliseconds};
}

Front::Refusal unsettled(const std::string &reason)
{
    return {.status = Core::HttpStatus::GatewayTimeout,
            .outcome = Front::Outcome::Unknown,
            .code = "unsettled",
            .message = reason,
            .suggestedAction = "send the call again with the same Idempotency-Key; it will not run twice",
            .retryAfterMilliseconds = RetryMilliseconds};
}

Front::Refusal lostAnswer(const std::string &reason)
{
    return {.status = Core::HttpStatus::BadGateway,
            .outcome = Front::Outcome::Unknown,
            .code = "answer-lost",
            .message = reason,
            .suggestedAction = RepeatAdvice,
            .retryAfterMilliseconds = RetryMilliseconds};
}

Front::Refusal resultLeftOut()
{
    return {.status = Core::HttpStatus::UnprocessableContent,
            .outcome = Front::Outcome::Completed,
            .code = "result-too-large",
            .message = "the call ran before, and its answer was too large to be kept",
            .suggestedAction = "read its effect from the service"};
}

Front::Refusal refusalOf(const Ledger::ClaimResult &claim)
{
    switch (claim.outcome) {
    case Ledger::ClaimOutcome::OtherRequest:
        return {.status = Core::HttpStatus::UnprocessableContent,
                .code = "key-reused",
                .message = claim.reason,
                .suggestedAction = "use a new Idempotency-Key for another request"};
    case Ledger::ClaimOutcome::Shed:
    case Ledger::ClaimOutcome::Unavailable:
        return {.status = Core::HttpStatus::ServiceUnavailable,
                .code = claim.outcome == Ledger::ClaimOutcome::Shed ? "overloaded" : "table-service-silent",
                .message = claim.reason,
                .suggestedAction = RepeatAdvice,
                .retryAfterMilliseconds = RetryMilliseconds};
    case Ledger::ClaimOutcome::Held:
    case Ledger::ClaimOutcome::Recorded:
    case Ledger::ClaimOutcome::Unknown:
        break;
    }
    return unsettled(claim.reason);
}

}
