#include <StandIns/EngineModel.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace StandIns {

namespace {

constexpr std::uint64_t WordCount = 997;

}

std::string tokenAt(const Core::AdapterVersion &adapter, std::string_view prompt, std::uint32_t index)
{
    const auto seed = Core::stableHash(prompt, Core::stableHash(adapter.toString()));
    const auto word = Core::stableHash(std::to_string(index), seed) % WordCount;
    return (index == 0 ? "" : " ") + adapter.adapter + "." + std::to_string(word);
}

EngineModel::EngineModel(EngineModelOptions options)
    : m_options(std::move(options))
{
}

std::optional<Engine::OrderOutcome> EngineModel::refusalOf(const Engine::AdapterOrder &order)
{
    if (!order.incarnation.empty() && order.incarnation != m_options.incarnation) {
        return Engine::OrderOutcome::OtherIncarnation;
    }
    return isStale(order.fence) ? std::optional(Engine::OrderOutcome::StaleFence) : std::nullopt;
}

Engine::OrderOutcome EngineModel::beginLoad(const Engine::AdapterOrder &order)
{
    if (const auto refusal = refusalOf(order); refusal.has_value()) {
        return *refusal;
    }
    if (const auto found = m_slots.find(order.adapter); found != m_slots.end()) {
        return found->second.isResident ? Engine::OrderOutcome::Done : Engine::OrderOutcome::Busy;
    }
    if (m_slots.size() >= m_options.slotCount) {
        return Engine::OrderOutcome::Busy;
    }
    m_slots[order.adapter] = {};
    ++m_loadCount;
    return Engine::OrderOutcome::Done;
}

void EngineModel::finishLoad(const Core::AdapterVersion &adapter, bool isLoaded)
{
    if (isLoaded) {
        m_slots[adapter].isResident = true;
    } else {
        m_slots.erase(adapter);
    }
}

Engine::OrderOutcome EngineModel::unload(const Engine::AdapterOrder &order)
{
    if (const auto refusal = refusalOf(order); refusal.has_value()) {
        return *refusal;
    }
    if (const auto found = m_slots.find(order.adapter); found != m_slots.end()) {
        m_evictionsInUse += found->second.running > 0 ? 1 : 0;
        m_slots.erase(found);
    }
    return Engine::OrderOutcome::Done;
}

bool EngineModel::beginRequest(const Core::AdapterVersion &adapter)
{
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end() || !found->second.isResident) {
        return false;
    }
    ++found->second.running;
    return true;
}

void EngineModel::endRequest(const Core::AdapterVersion &adapter)
{
    if (const auto found = m_slots.find(adapter); found != m_slots.end() && found->second.running > 0) {
        --found->second.running;
    }
}

void EngineModel::setLeaving(bool isLeaving)
{
    m_isLeaving = isLeaving;
}

Engine::EngineStatus EngineModel::status() const
{
    Engine::EngineStatus status {.incarnation = m_options.incarnation,
                                 .slotCount = m_options.slotCount,
                                 .batchCapacity = m_options.batchCapacity,
                                 .isLeaving = m_isLeaving};
    for (const auto &[adapter, slot] : m_slots) {
        status.runningRequests += slot.running;
        if (slot.isResident) {
            status.slots.push_back({.adapter = adapter, .runningRequests = slot.running});
        }
    }
    return status;
}

std::uint32_t EngineModel::evictionsInUse() const
{
    return m_evictionsInUse;
}

std::uint32_t EngineModel::loadCount() const
{
    return m_loadCount;
}

bool EngineModel::isStale(std::uint64_t fence)
{
    if (m_options.fenceChecking == Platform::FenceChecking::Checks && fence < m_highestFence) {
        return true;
    }
    m_highestFence = std::max(m_highestFence, fence);
    return false;
}

}
