#pragma once

#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibMembership/OwnershipView.h>
#include <set>

namespace Owner {

// Checks every order immediately before it is sent. An unload is sent only if it is harmless however late it arrives,
// and a load only if this host may order loads there; otherwise the order ends as Busy. Records unloads in flight with
// OwnershipView. An unload without a response counts as ended once the target no longer reports the adapter.
class OrderGate final : public Engine::EngineLink
{
public:
    OrderGate(Core::Scheduler &scheduler, Engine::EngineLink &engines, Membership::OwnershipView &ownership);

    void load(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done) override;
    void unload(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done) override;
    void status(const Engine::EngineAddress &engine, StatusFunction done) override;
    Engine::StreamId generate(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request,
                              StreamFunction events) override;
    void cancel(Engine::StreamId stream) override;

private:
    Core::Scheduler &m_scheduler;
    Engine::EngineLink &m_engines;
    Membership::OwnershipView &m_ownership;
    std::set<std::pair<Core::TargetId, Core::AdapterVersion>> m_unresolvedUnloads;
};

}
