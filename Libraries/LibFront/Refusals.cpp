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
                .message = "no adapter \"" + model + "\" exists",
                .suggestedAction = "check the model's name"};
    case Ticket::ResolveRefusal::UnknownVersion:
        return {.status = Core::HttpStatus::NotFound,
                .code = "unknown-version",
                .message = "\"" + model + "\" names a version that the adapter doesn't have",
                .suggestedAction = "name another version, or none for the current one"};
    case Ticket::ResolveRefusal::NotAllowed:
        return {.status = Core::HttpStatus::Forbidden,
                .code = "not-allowed",
                .message = "no rule lets you reach \"" + model + "\"",
                .suggestedAction = "ask an operator for a rule"};
    case Ticket::ResolveRefusal::Retired:
        return {.status = Core::HttpStatus::Gone,
                .code = "retired-adapter",
                .message = "\"" + model + "\" is retired",
                .suggestedAction = "name another adapter"};
    }
    return {};
}

Refusal describe(const AttemptFailure &failure, const std::string &place, Outcome outcome)
{
    const auto &rule = Routing::ruleFor(failure.failure);
    auto message = std::string(rule.message);
    if (!place.empty()) {
        message += " (" + place + ')';
    }
    if (!failure.reason.empty()) {
        message += ": " + failure.reason;
    }
    const bool isKnown = outcome == Outcome::NotRun;
    return {.status = rule.status,
            .outcome = outcome,
            .code = std::string(rule.code),
            .message = std::move(message),
            .suggestedAction = isKnown ? "send the request again after the time in Retry-After"
                                       : "the answer isn't whole; send the request again after the time in Retry-After",
            .retryAfterMilliseconds = DefaultRetryMilliseconds};
}

Refusal describeQuarantine(Outcome outcome)
{
    return {.status = Core::HttpStatus::UnprocessableContent,
            .outcome = outcome,
            .code = "crashes-targets",
            .message = "several targets died while they ran this request; it is refused for some minutes",
            .suggestedAction = "don't send the same prompt again; tell the operators"};
}

}
