#include <currantbayd/CallerInterface.h>

#include <LibCore/HttpStatus.h>
#include <currantbayd/HttpRefusal.h>
#include <currantbayd/TokenLookup.h>

namespace Daemon {

namespace {

constexpr std::int64_t StartingRetryAfterMilliseconds = 1000;
constexpr std::uint32_t DefaultMaxTokens = 16;
constexpr std::uint32_t MaxTokensLimit = 32768;

// Thrown when a request body is valid JSON but not a valid completion request.
class InvalidBody : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Concatenates the messages of a chat into one prompt, one "role: content" line for each message.
std::string joinMessages(const nlohmann::json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        throw InvalidBody("\"messages\" must be a non-empty array");
    }
    std::string prompt;
    for (const auto &message : messages) {
        const bool isMessage = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!isMessage) {
            throw InvalidBody("each element of \"messages\" must have a string \"role\" and a string \"content\"");
        }
        prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + '\n';
    }
    return prompt;
}

std::uint32_t readMaxTokens(const nlohmann::json &body)
{
    const auto found = body.find("max_tokens");
    if (found == body.end()) {
        return DefaultMaxTokens;
    }
    if (!found->is_number_integer() || *found < 1 || *found > MaxTokensLimit) {
        throw InvalidBody("\"max_tokens\" must be an integer from 1 to " + std::to_string(MaxTokensLimit));
    }
    return found->get<std::uint32_t>();
}

Front::CompletionRequest readRequest(const nlohmann::json &body, ResponseFormat format)
{
    if (!body.is_object()) {
        throw InvalidBody("the body must be a JSON object");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        throw InvalidBody("\"model\" must be a string: the name of an adapter, or name@version");
    }
    Front::CompletionRequest request {.model = body["model"].get<std::string>(), .maxTokens = readMaxTokens(body)};
    if (format == ResponseFormat::Chat) {
        request.prompt = joinMessages(body.value("messages", nlohmann::json()));
    } else if (body.contains("prompt") && body["prompt"].is_string()) {
        request.prompt = body["prompt"].get<std::string>();
    } else {
        throw InvalidBody("\"prompt\" must be a string");
    }
    return request;
}

ResponseMode readMode(const nlohmann::json &body)
{
    const auto found = body.find("stream");
    if (found == body.end()) {
        return ResponseMode::Complete;
    }
    if (!found->is_boolean()) {
        throw InvalidBody("\"stream\" must be true or false");
    }
    return found->get<bool>() ? ResponseMode::Streamed : ResponseMode::Complete;
}

void refuseStarting(Net::Exchange &exchange)
{
    refuse(exchange,
           {.status = Core::HttpStatus::ServiceUnavailable,
            .code = "starting",
            .message = "this entry host is starting: it has not loaded the tickets, its peers or the targets yet",
            .suggestedAction = "retry after the time given in Retry-After",
            .retryAfterMilliseconds = StartingRetryAfterMilliseconds});
}

}

CallerInterface::CallerInterface(Host::Host &host, CallerInterfaceOptions options)
    : m_host(host)
    , m_options(std::move(options))
    , m_services(host, m_options.requestTimeout)
{
}

void CallerInterface::handleRequest(const std::shared_ptr<Net::Exchange> &exchange)
{
    const auto &request = exchange->request();
    const auto customer = findTokenHolder(request, m_options.callers);
    if (!customer.has_value()) {
        refuse(*exchange,
               {.status = Core::HttpStatus::Unauthorized,
                .code = "unknown-token",
                .message = "the Authorization header has no valid bearer token",
                .suggestedAction = "send the token that the operators issued to you"});
        return;
    }
    if (!m_host.canServe()) {
        refuseStarting(*exchange);
        return;
    }
    if (!request.path.starts_with("/v1/")) {
        m_services.handleRequest(exchange, {*customer});
        return;
    }
    const bool isChat = request.path == "/v1/chat/completions";
    if (!isChat && request.path != "/v1/completions") {
        refuse(*exchange,
               {.status = Core::HttpStatus::NotFound,
                .code = "unknown-path",
                .message = "no route matches " + request.path,
                .suggestedAction = "use the route of a service, /v1/completions or /v1/chat/completions"});
        return;
    }
    if (request.method != "POST") {
        refuse(*exchange,
               {.status = Core::HttpStatus::MethodNotAllowed,
                .code = "wrong-method",
                .message = request.path + " only accepts POST",
                .suggestedAction = "use POST"});
        return;
    }
    complete(exchange, {*customer}, isChat ? ResponseFormat::Chat : ResponseFormat::Completion);
}

void CallerInterface::complete(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer,
                               ResponseFormat format)
{
    const auto &incoming = exchange->request();
    try {
        const auto body = nlohmann::json::parse(incoming.body.view());
        auto request = readRequest(body, format);
        const auto mode = readMode(body);
        request.customer = customer;
        request.timeout = m_options.requestTimeout;
        request.traceParent = Trace::TraceContext::fromHeader(incoming.header("traceparent"));
        auto response = std::make_shared<CompletionResponse>(exchange, format, mode,
                                                             "cmpl-" + std::to_string(++m_lastResponseNumber));
        exchange->onClosed(m_host.complete(std::move(request), std::move(response)));
    } catch (const nlohmann::json::exception &error) {
        refuse(*exchange,
               {.status = Core::HttpStatus::BadRequest,
                .code = "malformed-body",
                .message = error.what(),
                .suggestedAction = "send a valid JSON body"});
    } catch (const InvalidBody &error) {
        refuse(*exchange,
               {.status = Core::HttpStatus::BadRequest,
                .code = "bad-body",
                .message = error.what(),
                .suggestedAction = "correct the request"});
    }
}

}
