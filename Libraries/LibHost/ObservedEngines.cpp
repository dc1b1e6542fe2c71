#include <LibHost/ObservedEngines.h>

namespace Host {

ObservedEngines::ObservedEngines(Engine::EngineLink &engines, ReportFunction report)
    : m_engines(engines)
    , m_report(std::move(report))
{
}

void ObservedEngines::load(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done)
{
    m_engines.load(engine, order, std::move(done));
}

void ObservedEngines::unload(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done)
{
    m_engines.unload(engine, order, std::move(done));
}

void ObservedEngines::status(const Engine::EngineAddress &engine, StatusFunction done)
{
    m_engines.status(engine, [this, target = engine.target, done = std::move(done)](const auto &status) {
        if (status.has_value()) {
            m_report(target, *status);
        }
        done(status);
    });
}

Engine::StreamId ObservedEngines::generate(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request,
                                           StreamFunction events)
{
    return m_engines.generate(engine, request, std::move(events));
}

void ObservedEngines::cancel(Engine::StreamId stream)
{
    m_engines.cancel(stream);
}

}
