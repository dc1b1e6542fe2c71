#include <StandIns/StandIn.h>

#include <LibCore/HttpStatus.h>
#include <LibCore/StepError.h>
#include <LibPlatform/PlatformJson.h>
#include <StandIns/MemoryTable.h>
#include <fstream>

namespace StandIns {

namespace {

// Serves the table and the host list. Faults are set by POST /fault: "outage" leaves every call without an
// answer, "lostAnswers" leaves that many transactions without an answer after they took effect, "delay" is in
// milliseconds.
class PlatformStandIn final : public StandIn
{
public:
    PlatformStandIn(Net::EventLoop &loop, const StandInOptions &options)
        : m_loop(loop)
        , m_server(loop, serverOptions(options.address), [this](const auto &exchange) {
            take(exchange);
        })
    {
        std::ifstream file(options.machinesFile);
        m_machines = nlohmann::json::parse(file, nullptr, false, true);
        if (!m_machines.is_array()) {
            throw Core::StepError("read host list", options.machinesFile, "not a JSON list");
        }
    }

private:
    void take(const std::shared_ptr<Net::Exchange> &exchange)
    {
        if (exchange->request().path == "/fault") {
            setFaults(exchange);
            return;
        }
        if (m_isDown) {
            return; // The caller's own timeout ends it.
        }
        m_loop.runAfter(m_delay, [this, exchange] {
            try {
                serve(exchange);
            } catch (const std::exception &error) {
                exchange->respond({.status = Core::HttpStatus::BadRequest}, error.what());
            }
        });
    }

    void setFaults(const std::shared_ptr<Net::Exchange> &exchange)
    {
        const auto faults = nlohmann::json::parse(exchange->request().body.view(), nullptr, false);
        if (!faults.is_object()) {
            exchange->respond({.status = Core::HttpStatus::BadRequest}, "expected an object of faults");
            return;
        }
        m_isDown = faults.value("outage", m_isDown);
        m_lostAnswers = faults.value("lostAnswers", m_lostAnswers);
        m_delay = std::chrono::milliseconds(faults.value("delay", 0));
        exchange->respond({}, "{}");
    }

    void serve(const std::shared_ptr<Net::Exchange> &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/v1/transact" && request.method == "POST") {
            const auto isCommitted
                = m_table.transact(Platform::transactionFromJson(nlohmann::json::parse(request.body.view())));
            ++m_writes;
            if (m_lostAnswers > 0) {
                --m_lostAnswers;
                return;
            }
            exchange->respond({.status = isCommitted ? 200 : Core::HttpStatus::Conflict}, "{}");
        } else if (request.path == "/v1/row") {
            ++m_reads;
            const auto row = m_table.read(request.query.at("table"), request.query.at("key"));
            exchange->respond({.status = row.has_value() ? 200 : Core::HttpStatus::NotFound},
                              row.has_value() ? Platform::toJson(*row).dump() : "{}");
        } else if (request.path == "/v1/rows") {
            ++m_reads;
            auto rows = nlohmann::json::array();
            for (const auto &row : m_table.scan(request.query.at("table"), request.query.at("after"),
                                                std::stoull(request.query.at("most")))) {
                rows.push_back(Platform::toJson(row));
            }
            exchange->respond({}, rows.dump());
        } else if (request.path == "/v1/hosts") {
            serveHosts(exchange);
        } else if (request.path == "/counts") {
            exchange->respond({}, nlohmann::json {{"writes", m_writes}, {"reads", m_reads}}.dump());
        } else {
            exchange->respond({.status = Core::HttpStatus::NotFound}, "{}");
        }
    }

    // GET reads the list, PUT replaces it.
    void serveHosts(const std::shared_ptr<Net::Exchange> &exchange)
    {
        if (exchange->request().method == "PUT") {
            m_machines = nlohmann::json::parse(exchange->request().body.view());
        }
        exchange->respond({}, m_machines.dump());
    }

    Net::EventLoop &m_loop;
    MemoryTable m_table;
    nlohmann::json m_machines;
    bool m_isDown = false;
    int m_lostAnswers = 0;
    Core::Duration m_delay {};
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    Net::HttpServer m_server;
};

}

std::unique_ptr<StandIn> makePlatformStandIn(Net::EventLoop &loop, const StandInOptions &options)
{
    return std::make_unique<PlatformStandIn>(loop, options);
}

}
