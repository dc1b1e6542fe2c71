#pragma once

#include <LibEngine/EngineLink.h>
#include <LibPlatform/HostList.h>
#include <map>
#include <optional>

namespace StandIns {

// The token at an index of the answer that an adapter gives to a prompt; the same on every engine.
[[nodiscard]] std::string tokenAt(const Core::AdapterVersion &adapter, std::string_view prompt, std::uint32_t index);

struct EngineModelOptions {
    std::string incarnation;
    std::uint32_t slotCount = 4;
    std::uint32_t batchCapacity = 8;
    Platform::FenceChecking fenceChecking = Platform::FenceChecking::Checks;
};

// The slots of a model engine, and what it does when it is ordered to change them. An unload of an adapter that
// runs a request is carried out, as careless engines do, and counted: it is what must never happen.
class EngineModel
{
public:
    explicit EngineModel(EngineModelOptions options);

    // Decides an order to load; a load that is accepted has its slot taken until finishLoad().
    [[nodiscard]] Engine::OrderOutcome beginLoad(const Engine::AdapterOrder &order);
    void finishLoad(const Core::AdapterVersion &adapter, bool isLoaded);
    [[nodiscard]] Engine::OrderOutcome unload(const Engine::AdapterOrder &order);

    // Returns false when the adapter isn't resident.
    [[nodiscard]] bool beginRequest(const Core::AdapterVersion &adapter);
    void endRequest(const Core::AdapterVersion &adapter);

    void setLeaving(bool isLeaving);
    [[nodiscard]] Engine::EngineStatus status() const;
    // Unloads that hit a running request.
    [[nodiscard]] std::uint32_t evictionsInUse() const;
    [[nodiscard]] std::uint32_t loadCount() const;

private:
    struct ModelSlot {
        bool isResident = false;
        std::uint32_t running = 0;
    };

    // Why the order isn't carried out, whatever it orders.
    [[nodiscard]] std::optional<Engine::OrderOutcome> refusalOf(const Engine::AdapterOrder &order);
    [[nodiscard]] bool isStale(std::uint64_t fence);

    EngineModelOptions m_options;
    std::map<Core::AdapterVersion, ModelSlot> m_slots;
    std::uint64_t m_highestFence = 0;
    std::uint32_t m_evictionsInUse = 0;
    std::uint32_t m_loadCount = 0;
    bool m_isLeaving = false;
};

}
