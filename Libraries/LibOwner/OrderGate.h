#pragma once

#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibMembership/OwnershipView.h>
#include <set>

namespace Owner {

// The last check before an order leaves: passes an unload only while it can do no harm however late it arrives, and
// keeps count of the unloads that are on their way. A refused unload answers Busy. An unload without an answer has
// ended when the target no longer reports the adapter.
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
    std::set<std::pair<Core::TargetId, Core::AdapterVersion>> m_unanswered;
};

}
