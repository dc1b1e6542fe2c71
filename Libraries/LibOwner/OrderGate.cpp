#include <LibOwner/OrderGate.h>

#include <algorithm>

namespace Owner {

OrderGate::OrderGate(Core::Scheduler &scheduler, Engine::EngineLink &engines, Membership::OwnershipView &ownership)
    : m_scheduler(scheduler)
    , m_engines(engines)
    , m_ownership(ownership)
{
}

void OrderGate::load(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done)
{
    if (!m_ownership.mayLoad(engine.target)) {
        m_scheduler.runAfter({}, [done = std::move(done)] {
            done(Engine::OrderOutcome::Busy);
        });
        return;
    }
    auto guarded = order;
    guarded.isPermitted = [this, target = engine.target] {
        return m_ownership.mayLoad(target);
    };
    m_engines.load(engine, guarded, std::move(done));
}

void OrderGate::unload(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done)
{
    if (!m_ownership.isUnloadSafe(engine.target, order.adapter)) {
        m_scheduler.runAfter({}, [done = std::move(done)] {
            done(Engine::OrderOutcome::Busy);
        });
        return;
    }
    m_ownership.beginUnload(engine.target, order.adapter);
    auto guarded = order;
    guarded.isPermitted = [this, target = engine.target, adapter = order.adapter] {
        return m_ownership.isUnloadSafe(target, adapter);
    };
    m_engines.unload(
        engine, guarded,
        [this, target = engine.target, adapter = order.adapter, done = std::move(done)](Engine::OrderOutcome outcome) {
            if (outcome != Engine::OrderOutcome::Unknown) {
                m_ownership.endUnload(target, adapter);
            } else {
                m_unresolvedUnloads.insert({target, adapter});
            }
            done(outcome);
        });
}

void OrderGate::status(const Engine::EngineAddress &engine, StatusFunction done)
{
    m_engines.status(
        engine,
        [this, target = engine.target, done = std::move(done)](const std::optional<Engine::EngineStatus> &status) {
            if (status.has_value()) {
                std::erase_if(m_unresolvedUnloads, [&](const auto &unload) {
                    const auto &slots = status->slots;
                    const bool isGone
                        = unload.first == target && std::none_of(slots.begin(), slots.end(), [&](const auto &slot) {
                              return slot.adapter == unload.second;
                          });
                    if (isGone) {
                        m_ownership.endUnload(target, unload.second);
                    }
                    return isGone;
                });
            }
            done(status);
        });
}

Engine::StreamId OrderGate::generate(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request,
                                     StreamFunction events)
{
    return m_engines.generate(engine, request, std::move(events));
}

void OrderGate::cancel(Engine::StreamId stream)
{
    m_engines.cancel(stream);
}

}
