#include <LibFront/Refusals.h>

#include <LibCore/HttpStatus.h>

namespace Front {

namespace {

constexpr std::int64_t DefaultRetryMilliseconds = 1000;

}

Refusal describe(Ticket::ResolveRefusal reason, const std::string &model)
{
    switch (reason) {
    case Ticket::ResolveRefusal::UnknownAdapter:
        return {.status = Core::HttpStatus::NotFound,
                .code = "unknown-adapter",
                .message = "the adapter \"" + model + "\" doesn't exist",
                .suggestedAction = "check the model name"};
    case Ticket::ResolveRefusal::UnknownVersion:
        return {.status = Core::HttpStatus::NotFound,
                .code = "unknown-version",
                .message = "\"" + model + "\" names a version that doesn't exist",
                .suggestedAction = "use another version, or none for the current one"};
    case Ticket::ResolveRefusal::NotAllowed:
        return {.status = Core::HttpStatus::Forbidden,
                .code = "not-allowed",
                .message = "no rule allows access to \"" + model + "\"",
                .suggestedAction = "ask an operator to allow access"};
    case Ticket::ResolveRefusal::Retired:
        return {.status = Core::HttpStatus::Gone,
                .code = "retired-adapter",
                .message = "\"" + model + "\" is retired",
                .suggestedAction = "use another adapter"};
    }
    return {};
}

Refusal describe(const AttemptFailure &failure, const std::string &component, Outcome outcome)
{
    const auto &rule = Routing::ruleFor(failure.failure);
    auto message = std::string(rule.message);
    if (!component.empty()) {
        message += " (" + component + ')';
    }
    if (!failure.reason.empty()) {
        message += ": " + failure.reason;
    }
    const bool hasNotRun = outcome == Outcome::NotRun;
    return {.status = rule.status,
            .outcome = outcome,
            .code = std::string(rule.code),
            .message = std::move(message),
            .suggestedAction = hasNotRun
                ? "send the request again after the time in Retry-After"
                : "the response is incomplete; send the request again after the time in Retry-After",
            .retryAfterMilliseconds = DefaultRetryMilliseconds};
}

Refusal describeQuarantine(Outcome outcome)
{
    return {.status = Core::HttpStatus::UnprocessableContent,
            .outcome = outcome,
            .code = "crashes-targets",
            .message = "several targets crashed while they ran this request; it is refused for some minutes",
            .suggestedAction = "don't send the same prompt again; contact the operators"};
}

}
