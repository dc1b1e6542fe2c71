#pragma once

#include <LibEngine/EngineLink.h>

namespace Host {

// Passes every order on to the engines, and shows their own reports to the host as well as to whoever asked.
class ObservedEngines final : public Engine::EngineLink
{
public:
    using ReportFunction = std::function<void(const Core::TargetId &, const Engine::EngineStatus &)>;

    ObservedEngines(Engine::EngineLink &engines, ReportFunction report);

    void load(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done) override;
    void unload(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done) override;
    void status(const Engine::EngineAddress &engine, StatusFunction done) override;
    Engine::StreamId generate(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request,
                              StreamFunction events) override;
    void cancel(Engine::StreamId stream) override;

private:
    Engine::EngineLink &m_engines;
    ReportFunction m_report;
};

}
