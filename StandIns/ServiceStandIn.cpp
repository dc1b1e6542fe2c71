#include <StandIns/StandIn.h>

#include <map>
#include <nlohmann/json.hpp>

namespace StandIns {

namespace {

// An application service that runs each call and counts how often each idempotency key ran. Faults are set by
// POST /fault: "lostAnswers" leaves that many calls without an answer after they ran.
class ServiceStandIn final : public StandIn
{
public:
    ServiceStandIn(Net::EventLoop &loop, const StandInOptions &options)
        : m_name(options.name)
        , m_server(loop, serverOptions(options.address), [this](const auto &exchange) {
            serve(exchange);
        })
    {
    }

private:
    void serve(const std::shared_ptr<Net::Exchange> &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/fault") {
            const auto faults = nlohmann::json::parse(request.body, nullptr, false);
            m_lostAnswers = faults.is_object() ? faults.value("lostAnswers", 0) : 0;
            exchange->respond({}, "{}");
            return;
        }
        if (request.path == "/counts") {
            exchange->respond({}, nlohmann::json(m_runs).dump());
            return;
        }
        const auto key = std::string(request.header("idempotency-key"));
        const auto run = ++m_runs[request.method + " " + request.path + " " + key];
        if (m_lostAnswers > 0) {
            --m_lostAnswers;
            return;
        }
        exchange->respond({},
                          nlohmann::json {{"service", m_name},
                                          {"method", request.method},
                                          {"path", request.path},
                                          {"body", request.body},
                                          {"run", run}}
                              .dump());
    }

    std::string m_name;
    std::map<std::string, int> m_runs;
    int m_lostAnswers = 0;
    Net::HttpServer m_server;
};

}

std::unique_ptr<StandIn> makeServiceStandIn(Net::EventLoop &loop, const StandInOptions &options)
{
    return std::make_unique<ServiceStandIn>(loop, options);
}

}
