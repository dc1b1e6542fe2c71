#include <LibService/HttpServiceLink.h>

#include <LibCore/HttpStatus.h>
#include <LibService/ServiceJson.h>

namespace Service {

namespace {

// Responses of services are passed on whole.
constexpr std::size_t MaxResponseBytes = 16U << 20U;

std::vector<std::string> headersOf(const ServiceMessage &message)
{
    std::vector<std::string> headers {"Currantbay-Attempt: " + message.attempt.value};
    if (!message.contentType.empty()) {
        headers.push_back("Content-Type: " + message.contentType);
    }
    if (!message.key.empty()) {
        headers.push_back("Idempotency-Key: " + message.key);
    }
    if (!message.traceparent.empty()) {
        headers.push_back("traceparent: " + message.traceparent);
    }
    return headers;
}

ServiceReply replyFrom(Net::HttpResult result)
{
    if (!result.isComplete()) {
        return {.state = result.mayHaveBeenSent ? ServiceReply::State::Lost : ServiceReply::State::NotSent,
                .error = std::move(result.error)};
    }
    const auto status = static_cast<unsigned>(result.status);
    if (isFencedRefusal(status, result.body)) {
        return {.state = ServiceReply::State::Fenced, .error = "the attempt was fenced"};
    }
    return {.state = ServiceReply::State::Responded,
            .result = {.status = status, .contentType = std::move(result.contentType), .body = std::move(result.body)}};
}

}

HttpServiceLink::HttpServiceLink(Net::HttpClient &client, HttpServiceLinkOptions options)
    : m_client(client)
    , m_options(options)
{
}

void HttpServiceLink::send(const ServiceAddress &service, const ServiceMessage &message, ReplyFunction done)
{
    m_client.start({.method = message.method,
                    .url = "http://" + service.address + message.path,
                    .headers = headersOf(message),
                    .body = message.body,
                    .totalTimeout = message.timeout,
                    .maxBodyBytes = MaxResponseBytes},
                   [done = std::move(done)](Net::HttpResult result) {
                       done(replyFrom(std::move(result)));
                   });
}

void HttpServiceLink::fence(const ServiceAddress &service, const std::string &fencePath, const Core::AttemptId &attempt,
                            FenceDoneFunction done)
{
    m_client.start({.method = "POST",
                    .url = "http://" + service.address + fencePath + '/' + attempt.value + "/fence",
                    .headers = {"Content-Type: application/json"},
                    .totalTimeout = m_options.fenceTimeout,
                    .maxBodyBytes = Net::SmallMaxBodyBytes},
                   [done = std::move(done)](const Net::HttpResult &result) {
                       const bool hasResponse = result.isComplete() && result.status == Core::HttpStatus::Ok;
                       done(hasResponse ? fenceVerdictFromText(result.body) : Ledger::FenceVerdict {});
                   });
}

}
