#pragma once

#include <LibEngine/EngineLink.h>

namespace Host {

// Forwards every call to the engines, and passes each status that an engine reports to a function as well as to the
// caller.
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
