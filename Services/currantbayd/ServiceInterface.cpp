#include <currantbayd/ServiceInterface.h>

#include <LibCore/HttpStatus.h>
#include <currantbayd/HttpRefusal.h>
#include <optional>

namespace Daemon {

namespace {

constexpr unsigned FirstStatus = 200;
constexpr auto UntypedContent = "application/octet-stream";

// Carries a service's answer to the caller.
class ExchangeAnswer final : public Service::ServiceResponse
{
public:
    explicit ExchangeAnswer(std::shared_ptr<Net::Exchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    void refuse(const Front::Refusal &refusal) override
    {
        Daemon::refuse(*m_exchange, refusal);
    }

    void deliver(const Ledger::CallResult &result, Service::ResponseOrigin origin) override
    {
        Net::ResponseHead head {.status = std::max(result.status, FirstStatus),
                                .contentType = result.contentType.empty() ? UntypedContent : result.contentType,
                                .headers = {{"Currantbay-Outcome", "completed"}}};
        if (origin == Service::ResponseOrigin::Record) {
            head.headers.emplace_back("Currantbay-Replayed", "true");
        }
        m_exchange->respond(std::move(head), result.body);
    }

private:
    std::shared_ptr<Net::Exchange> m_exchange;
};

void appendEscaped(std::string &target, std::string_view text, std::string_view kept)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    for (const unsigned char c : text) {
        const bool isKept = std::isalnum(c) != 0 || kept.find(static_cast<char>(c)) != std::string_view::npos;
        if (isKept) {
            target += static_cast<char>(c);
        } else {
            target += {'%', Digits[c >> 4U], Digits[c & 15U]};
        }
    }
}

// The server has decoded the path; it is encoded anew. A path that leaves its route by dot segments has none.
std::optional<std::string> encodePath(const Net::ServerRequest &request)
{
    const auto bounded = request.path + '/';
    if (bounded.find("/./") != std::string::npos || bounded.find("/../") != std::string::npos) {
        return std::nullopt;
    }
    std::string encoded;
    appendEscaped(encoded, request.path, "/-_.~:@!$'()*+,;=");
    char separator = '?';
    for (const auto &[name, value] : request.query) {
        encoded += std::exchange(separator, '&');
        appendEscaped(encoded, name, "-_.~");
        encoded += '=';
        appendEscaped(encoded, value, "-_.~");
    }
    return encoded;
}

}

ServiceInterface::ServiceInterface(Host::Host &host, Core::Duration callTimeout)
    : m_host(host)
    , m_callTimeout(callTimeout)
{
}

void ServiceInterface::take(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer)
{
    const auto &incoming = exchange->request();
    auto path = encodePath(incoming);
    if (!path.has_value()) {
        refuse(*exchange,
               {.status = Core::HttpStatus::BadRequest,
                .code = "bad-path",
                .message = "the path holds \".\" or \"..\" segments",
                .suggestedAction = "send the path without them"});
        return;
    }
    Service::ServiceRequest request {.customer = customer,
                                     .method = incoming.method,
                                     .path = std::move(*path),
                                     .route = incoming.path.substr(1, incoming.path.find('/', 1) - 1),
                                     .contentType = std::string(incoming.header("content-type")),
                                     .body = incoming.body,
                                     .key = std::string(incoming.header("idempotency-key")),
                                     .timeout = m_callTimeout,
                                     .traceParent = Trace::TraceContext::fromHeader(incoming.header("traceparent"))};
    exchange->onClosed(m_host.callService(std::move(request), std::make_shared<ExchangeAnswer>(exchange)));
}

}
