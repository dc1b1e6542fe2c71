#include <currantbayd/ServiceInterface.h>

#include <LibCore/HttpStatus.h>
#include <currantbayd/HttpRefusal.h>
#include <optional>

namespace Daemon {

namespace {

constexpr unsigned MinStatus = 200;
constexpr auto DefaultContentType = "application/octet-stream";

// Sends the response of a service to the caller.
class ExchangeResponse final : public Service::ServiceResponse
{
public:
    explicit ExchangeResponse(std::shared_ptr<Net::Exchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    void refuse(const Front::Refusal &refusal) override
    {
        Daemon::refuse(*m_exchange, refusal);
    }

    void deliver(const Ledger::CallResult &result, Service::ResponseOrigin origin) override
    {
        Net::ResponseHead head {.status = std::max(result.status, MinStatus),
                                .contentType = result.contentType.empty() ? DefaultContentType : result.contentType,
                                .headers = {{"Currantbay-Outcome", "completed"}}};
        if (origin == Service::ResponseOrigin::Record) {
            head.headers.emplace_back("Currantbay-Replayed", "true");
        }
        m_exchange->respond(std::move(head), result.body);
    }

private:
    std::shared_ptr<Net::Exchange> m_exchange;
};

void appendPercentEncoded(std::string &output, std::string_view text, std::string_view allowed)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    for (const unsigned char c : text) {
        const bool isAllowed = std::isalnum(c) != 0 || allowed.find(static_cast<char>(c)) != std::string_view::npos;
        if (isAllowed) {
            output += static_cast<char>(c);
        } else {
            output += {'%', Digits[c >> 4U], Digits[c & 15U]};
        }
    }
}

// Encodes the path and the query again, which the HTTP server has decoded. Returns no value for a path with "." or
// ".." segments, since those could lead out of its route.
std::optional<std::string> encodePath(const Net::ServerRequest &request)
{
    const auto terminatedPath = request.path + '/';
    if (terminatedPath.find("/./") != std::string::npos || terminatedPath.find("/../") != std::string::npos) {
        return std::nullopt;
    }
    std::string encoded;
    appendPercentEncoded(encoded, request.path, "/-_.~:@!$'()*+,;=");
    char separator = '?';
    for (const auto &[name, value] : request.query) {
        encoded += std::exchange(separator, '&');
        appendPercentEncoded(encoded, name, "-_.~");
        encoded += '=';
        appendPercentEncoded(encoded, value, "-_.~");
    }
    return encoded;
}

}

ServiceInterface::ServiceInterface(Host::Host &host, Core::Duration callTimeout)
    : m_host(host)
    , m_callTimeout(callTimeout)
{
}

void ServiceInterface::handleRequest(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer)
{
    const auto &incoming = exchange->request();
    auto path = encodePath(incoming);
    if (!path.has_value()) {
        refuse(*exchange,
               {.status = Core::HttpStatus::BadRequest,
                .code = "bad-path",
                .message = "the path contains \".\" or \"..\" segments",
                .suggestedAction = "remove these segments from the path"});
        return;
    }
    Service::ServiceRequest request {.customer = customer,
                                     .method = incoming.method,
                                     .path = std::move(*path),
                                     .route = incoming.path.substr(1, incoming.path.find('/', 1) - 1),
                                     .contentType = std::string(incoming.header("content-type")),
                                     .body = std::string(incoming.body),
                                     .key = std::string(incoming.header("idempotency-key")),
                                     .timeout = m_callTimeout,
                                     .traceParent = Trace::TraceContext::fromHeader(incoming.header("traceparent"))};
    exchange->onClosed(m_host.callService(std::move(request), std::make_shared<ExchangeResponse>(exchange)));
}

}
