#include <StandIns/StandIn.h>

#include <LibCore/HttpStatus.h>
#include <LibService/ServiceJson.h>
#include <map>

namespace StandIns {

namespace {

using VerdictState = Ledger::FenceVerdict::State;

// An application service that runs each call and counts how often each idempotency key ran. It keeps what became
// of each attempt: GET /attempts/<attempt> tells it, POST /attempts/<attempt>/fence also refuses one that it has
// never seen from then on. Faults are set by POST /fault: "lostAnswers" leaves that many calls without an answer
// after they ran, "delay" lets each call run for so many milliseconds.
class ServiceStandIn final : public StandIn
{
public:
    ServiceStandIn(Net::EventLoop &loop, const StandInOptions &options)
        : m_loop(loop)
        , m_name(options.name)
        , m_server(loop, serverOptions(options.address), [this](const auto &exchange) {
            take(exchange);
        })
    {
    }

private:
    void take(const std::shared_ptr<Net::Exchange> &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/fault") {
            const auto faults = nlohmann::json::parse(request.body.view(), nullptr, false);
            m_lostAnswers = faults.is_object() ? faults.value("lostAnswers", 0) : 0;
            m_delay = std::chrono::milliseconds(faults.is_object() ? faults.value("delay", 0) : 0);
            exchange->respond({}, "{}");
        } else if (request.path == "/counts") {
            exchange->respond({}, nlohmann::json(m_runs).dump());
        } else if (request.path.starts_with(AttemptsPath)) {
            tellAttempt(*exchange);
        } else {
            serve(exchange);
        }
    }

    void tellAttempt(Net::Exchange &exchange)
    {
        const auto &request = exchange.request();
        auto id = request.path.substr(AttemptsPath.size());
        const bool isFence = request.method == "POST" && id.ends_with(FenceSuffix);
        if (!isFence) {
            const auto found = m_attempts.find(id);
            exchange.respond(
                {},
                (found == m_attempts.end() ? nlohmann::json {{"state", "never seen"}} : Service::toJson(found->second))
                    .dump());
            return;
        }
        id.resize(id.size() - FenceSuffix.size());
        auto &verdict = m_attempts[id];
        if (verdict.state == VerdictState::Unreachable) {
            verdict.state = VerdictState::Fenced;
        }
        exchange.respond({}, Service::toJson(verdict).dump());
    }

    void serve(const std::shared_ptr<Net::Exchange> &exchange)
    {
        const auto attempt = std::string(exchange->request().header("currantbay-attempt"));
        auto &verdict = m_attempts[attempt];
        if (!attempt.empty() && verdict.state == VerdictState::Fenced) {
            exchange->respond({.status = Service::StatusFenced}, Service::fencedRefusal().dump());
            return;
        }
        verdict.state = VerdictState::Running;
        m_loop.runAfter(m_delay, [this, exchange, attempt] {
            run(*exchange, attempt);
        });
    }

    void run(Net::Exchange &exchange, const std::string &attempt)
    {
        const auto &request = exchange.request();
        const auto key = std::string(request.header("idempotency-key"));
        const auto count = ++m_runs[request.method + " " + request.path + " " + key];
        auto body = nlohmann::json {
            {"service", m_name},
            {"method", request.method},
            {"path", request.path},
            {"body", std::string(request.body)},
            {"run",
             count}}.dump();
        m_attempts[attempt]
            = {.state = VerdictState::Ran,
               .result = {.status = Core::HttpStatus::Ok, .contentType = "application/json", .body = body}};
        if (m_lostAnswers > 0) {
            --m_lostAnswers;
            return;
        }
        exchange.respond({}, std::move(body));
    }

    static constexpr std::string_view AttemptsPath = "/attempts/";
    static constexpr std::string_view FenceSuffix = "/fence";

    Net::EventLoop &m_loop;
    std::string m_name;
    std::map<std::string, int> m_runs;
    std::map<std::string, Ledger::FenceVerdict> m_attempts;
    int m_lostAnswers = 0;
    Core::Duration m_delay {};
    Net::HttpServer m_server;
};

}

std::unique_ptr<StandIn> makeServiceStandIn(Net::EventLoop &loop, const StandInOptions &options)
{
    return std::make_unique<ServiceStandIn>(loop, options);
}

}
