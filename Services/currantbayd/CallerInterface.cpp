#include <currantbayd/CallerInterface.h>

#include <LibCore/HttpStatus.h>
#include <currantbayd/HttpRefusal.h>
#include <currantbayd/TokenTable.h>

namespace Daemon {

namespace {

constexpr std::int64_t StartingRetryMilliseconds = 1000;
constexpr std::uint32_t DefaultMostTokens = 16;
constexpr std::uint32_t LargestMostTokens = 32768;

// A request body that can't be used.
class BadBody : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Joins a chat's messages into one prompt.
std::string joinMessages(const nlohmann::json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        throw BadBody("\"messages\" must be a list that isn't empty");
    }
    std::string prompt;
    for (const auto &message : messages) {
        const bool isMessage = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!isMessage) {
            throw BadBody("each of \"messages\" must have a \"role\" and a \"content\", both texts");
        }
        prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + '\n';
    }
    return prompt;
}

std::uint32_t readMostTokens(const nlohmann::json &body)
{
    const auto found = body.find("max_tokens");
    if (found == body.end()) {
        return DefaultMostTokens;
    }
    if (!found->is_number_integer() || *found < 1 || *found > LargestMostTokens) {
        throw BadBody("\"max_tokens\" must be a whole number from 1 to " + std::to_string(LargestMostTokens));
    }
    return found->get<std::uint32_t>();
}

Front::CompletionRequest readRequest(const nlohmann::json &body, AnswerForm form)
{
    if (!body.is_object()) {
        throw BadBody("the body must be a JSON object");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        throw BadBody("\"model\" must be a text: an adapter's name, or name@version");
    }
    Front::CompletionRequest request {.model = body["model"].get<std::string>(), .maxTokens = readMostTokens(body)};
    if (form == AnswerForm::Chat) {
        request.prompt = joinMessages(body.value("messages", nlohmann::json()));
    } else if (body.contains("prompt") && body["prompt"].is_string()) {
        request.prompt = body["prompt"].get<std::string>();
    } else {
        throw BadBody("\"prompt\" must be a text");
    }
    return request;
}

AnswerMode readMode(const nlohmann::json &body)
{
    const auto found = body.find("stream");
    if (found == body.end()) {
        return AnswerMode::Whole;
    }
    if (!found->is_boolean()) {
        throw BadBody("\"stream\" must be true or false");
    }
    return found->get<bool>() ? AnswerMode::Streamed : AnswerMode::Whole;
}

void refuseStarting(Net::Exchange &exchange)
{
    refuse(exchange,
           {.status = Core::HttpStatus::ServiceUnavailable,
            .code = "starting",
            .message = "this entry host doesn't know the tickets, its peers or the targets yet",
            .suggestedAction = "send the request again after the time in Retry-After",
            .retryAfterMilliseconds = StartingRetryMilliseconds});
}

}

CallerInterface::CallerInterface(Host::Host &host, CallerInterfaceOptions options)
    : m_host(host)
    , m_options(std::move(options))
    , m_services(host, m_options.requestTimeout)
{
}

void CallerInterface::take(const std::shared_ptr<Net::Exchange> &exchange)
{
    const auto &request = exchange->request();
    const auto customer = findTokenHolder(request, m_options.callers);
    if (!customer.has_value()) {
        refuse(*exchange,
               {.status = Core::HttpStatus::Unauthorized,
                .code = "unknown-token",
                .message = "the header \"Authorization: Bearer\" carries no known token",
                .suggestedAction = "send the token that the operators gave you"});
        return;
    }
    if (!m_host.canServe()) {
        refuseStarting(*exchange);
        return;
    }
    if (!request.path.starts_with("/v1/")) {
        m_services.take(exchange, {*customer});
        return;
    }
    const bool isChat = request.path == "/v1/chat/completions";
    if (!isChat && request.path != "/v1/completions") {
        refuse(*exchange,
               {.status = Core::HttpStatus::NotFound,
                .code = "unknown-path",
                .message = "nothing is served at " + request.path,
                .suggestedAction = "use a service's route, /v1/completions or /v1/chat/completions"});
        return;
    }
    if (request.method != "POST") {
        refuse(*exchange,
               {.status = Core::HttpStatus::MethodNotAllowed,
                .code = "wrong-method",
                .message = request.path + " takes POST",
                .suggestedAction = "send the request by POST"});
        return;
    }
    complete(exchange, {*customer}, isChat ? AnswerForm::Chat : AnswerForm::Completion);
}

void CallerInterface::complete(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer,
                               AnswerForm form)
{
    const auto &incoming = exchange->request();
    try {
        const auto body = nlohmann::json::parse(incoming.body);
        auto request = readRequest(body, form);
        const auto mode = readMode(body);
        request.customer = customer;
        request.timeout = m_options.requestTimeout;
        request.traceParent = Trace::TraceContext::fromHeader(incoming.header("traceparent"));
        auto answer
            = std::make_shared<CompletionAnswer>(exchange, form, mode, "cmpl-" + std::to_string(++m_lastAnswer));
        exchange->onClosed(m_host.complete(std::move(request), std::move(answer)));
    } catch (const nlohmann::json::exception &error) {
        refuse(*exchange,
               {.status = Core::HttpStatus::BadRequest,
                .code = "malformed-body",
                .message = error.what(),
                .suggestedAction = "correct the JSON body"});
    } catch (const BadBody &error) {
        refuse(*exchange,
               {.status = Core::HttpStatus::BadRequest,
                .code = "bad-body",
                .message = error.what(),
                .suggestedAction = "correct the request"});
    }
}

}
