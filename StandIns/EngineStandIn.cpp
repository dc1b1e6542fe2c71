#include <StandIns/StandIn.h>

#include <LibCore/HttpStatus.h>
#include <LibEngine/EngineJson.h>
#include <StandIns/EngineModel.h>
#include <random>

namespace StandIns {

namespace {

// One stream that is being generated.
struct RunningStream {
    Engine::GenerateRequest request;
    std::shared_ptr<Net::Exchange> exchange;
    std::uint32_t next = 0;
    bool isClosed = false;
};

// A model engine whose tokens are a hash of adapter, prompt and index. Faults are set by POST /fault:
// "failLoads" fails that many loads, "leaving" changes its report, "silentAfter" stops every stream without a
// word after that many tokens, "crashOn" makes it exit when a prompt contains the text.
class EngineStandIn final : public StandIn
{
public:
    EngineStandIn(Net::EventLoop &loop, const StandInOptions &options)
        : m_loop(loop)
        , m_options(options)
        , m_model({.incarnation = options.name + "-" + std::to_string(std::random_device()()),
                   .slotCount = options.slots,
                   .batchCapacity = options.batch,
                   .fenceChecking
                   = options.isFenceIgnored ? Platform::FenceChecking::Ignores : Platform::FenceChecking::Checks})
        , m_server(loop, serverOptions(options.address), [this](const auto &exchange) {
            try {
                serve(exchange);
            } catch (const nlohmann::json::exception &error) {
                exchange->respond({.status = Core::HttpStatus::BadRequest}, error.what());
            }
        })
    {
    }

private:
    void serve(const std::shared_ptr<Net::Exchange> &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/v1/status") {
            exchange->respond({}, Engine::toJson(m_model.status()).dump());
        } else if (request.path == "/v1/adapters/load") {
            load(exchange, Engine::orderFromJson(nlohmann::json::parse(request.body.view())));
        } else if (request.path == "/v1/adapters/unload") {
            const auto outcome = m_model.unload(Engine::orderFromJson(nlohmann::json::parse(request.body.view())));
            exchange->respond({.status = statusOf(outcome)}, "{}");
        } else if (request.path == "/v1/generate") {
            generate(exchange, Engine::generateRequestFromJson(nlohmann::json::parse(request.body.view())));
        } else if (request.path == "/fault") {
            m_faults.merge_patch(nlohmann::json::parse(request.body.view()));
            m_model.setLeaving(m_faults.value("leaving", false));
            exchange->respond({}, "{}");
        } else if (request.path == "/counts") {
            exchange->respond({},
                              nlohmann::json {{"loads", m_model.loadCount()},
                                              {"evictionsInUse", m_model.evictionsInUse()},
                                              {"started", m_started}}
                                  .dump());
        } else {
            exchange->respond({.status = Core::HttpStatus::NotFound}, "{}");
        }
    }

    static unsigned statusOf(Engine::OrderOutcome outcome)
    {
        switch (outcome) {
        case Engine::OrderOutcome::Done:
            return Core::HttpStatus::Ok;
        case Engine::OrderOutcome::StaleFence:
            return Core::HttpStatus::Conflict;
        case Engine::OrderOutcome::OtherIncarnation:
            return Core::HttpStatus::MisdirectedRequest;
        default:
            return Core::HttpStatus::TooEarly;
        }
    }

    void load(const std::shared_ptr<Net::Exchange> &exchange, const Engine::AdapterOrder &order)
    {
        const bool wasResident = isResident(order.adapter);
        if (const auto outcome = m_model.beginLoad(order); outcome != Engine::OrderOutcome::Done) {
            exchange->respond({.status = statusOf(outcome)}, "{}");
            return;
        }
        if (wasResident) {
            exchange->respond({}, "{}");
            return;
        }
        m_loop.runAfter(std::chrono::milliseconds(m_options.loadMilliseconds), [this, exchange, order] {
            const auto failures = m_faults.value("failLoads", 0);
            m_faults["failLoads"] = std::max(0, failures - 1);
            m_model.finishLoad(order.adapter, failures == 0);
            exchange->respond({.status = failures == 0 ? 200 : Core::HttpStatus::ServiceUnavailable}, "{}");
        });
    }

    void generate(const std::shared_ptr<Net::Exchange> &exchange, Engine::GenerateRequest request)
    {
        if (const auto text = m_faults.value("crashOn", std::string());
            !text.empty() && request.prompt.find(text) != std::string::npos) {
            std::_Exit(1);
        }
        if (!m_model.beginRequest(request.adapter)) {
            exchange->respond({.status = Core::HttpStatus::NotFound},
                              "adapter " + request.adapter.toString() + " isn't resident");
            return;
        }
        ++m_started;
        auto stream = std::make_shared<RunningStream>();
        stream->next = request.offset;
        stream->request = std::move(request);
        stream->exchange = exchange;
        exchange->onClosed([this, stream] {
            end(*stream);
        });
        exchange->beginStream({.contentType = "application/x-ndjson"});
        exchange->send(Engine::toLine(Engine::StreamHead {.attempt = stream->request.attempt,
                                                          .adapter = stream->request.adapter,
                                                          .incarnation = m_model.status().incarnation})
                       + "\n");
        sendToken(stream);
    }

    void sendToken(const std::shared_ptr<RunningStream> &stream)
    {
        const auto &request = stream->request;
        while (!stream->isClosed) {
            if (stream->next >= request.maxTokens) {
                stream->exchange->send(
                    Engine::toLine(Engine::StreamEnd {.attempt = request.attempt, .tokenCount = request.maxTokens})
                    + "\n");
                stream->exchange->endStream();
                end(*stream);
                return;
            }
            if (stream->next >= m_faults.value("silentAfter", ~0U)) {
                return;
            }
            stream->exchange->send(
                Engine::toLine(Engine::StreamToken {.attempt = request.attempt,
                                                    .index = stream->next,
                                                    .text = tokenAt(request.adapter, request.prompt, stream->next)})
                + "\n");
            ++stream->next;
            if (m_options.tokenMilliseconds > 0) {
                m_loop.runAfter(std::chrono::milliseconds(m_options.tokenMilliseconds), [this, stream] {
                    sendToken(stream);
                });
                return;
            }
        }
    }

    void end(RunningStream &stream)
    {
        if (!stream.isClosed) {
            stream.isClosed = true;
            m_model.endRequest(stream.request.adapter);
        }
    }

    [[nodiscard]] bool isResident(const Core::AdapterVersion &adapter) const
    {
        const auto status = m_model.status();
        return std::any_of(status.slots.begin(), status.slots.end(), [&](const auto &slot) {
            return slot.adapter == adapter;
        });
    }

    Net::EventLoop &m_loop;
    StandInOptions m_options;
    EngineModel m_model;
    nlohmann::json m_faults = nlohmann::json::object();
    std::uint64_t m_started = 0;
    Net::HttpServer m_server;
};

}

std::unique_ptr<StandIn> makeEngineStandIn(Net::EventLoop &loop, const StandInOptions &options)
{
    return std::make_unique<EngineStandIn>(loop, options);
}

}
