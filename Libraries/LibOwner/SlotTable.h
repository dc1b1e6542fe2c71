#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Owner {

enum class SlotState { Loading, Ready, Unloading };

// An occupied adapter slot of a target, and the grants that keep its adapter resident.
struct Slot {
    SlotState state = SlotState::Loading;
    std::set<Core::GrantId> grants;
    Core::TimePoint lastUsed {};
};

// The owner's view of the adapter slots of one target. An adapter with a grant is never evictable.
class SlotTable
{
public:
    // Clears the table for a new incarnation: the target has restarted with empty slots, and all grants are void.
    void reset(std::string incarnation, std::uint32_t slotCount);
    [[nodiscard]] const std::string &incarnation() const;
    [[nodiscard]] std::uint32_t slotCount() const;

    [[nodiscard]] const Slot *find(const Core::AdapterVersion &adapter) const;
    [[nodiscard]] const std::map<Core::AdapterVersion, Slot> &slots() const;
    [[nodiscard]] bool hasFreeSlot() const;
    // Returns the ready adapters without grants, least recently used first.
    [[nodiscard]] std::vector<Core::AdapterVersion> evictable() const;

    // Occupies a free slot, which must exist, for an adapter that is about to be loaded.
    void beginLoad(const Core::AdapterVersion &adapter, Core::TimePoint now);
    void finishLoad(const Core::AdapterVersion &adapter);
    // Marks an adapter as being unloaded. It must be evictable.
    void beginUnload(const Core::AdapterVersion &adapter);
    // Makes an adapter ready again whose unload is known not to have been carried out.
    void cancelUnload(const Core::AdapterVersion &adapter);
    // Frees the slot of an adapter whose load failed or that has been unloaded.
    void remove(const Core::AdapterVersion &adapter);
    // Adds an adapter that the target holds although this owner didn't load it. The target may then hold more adapters
    // than it has slots in this table.
    void addReported(const Core::AdapterVersion &adapter, Core::TimePoint now);

    // Adds a grant, which keeps the ready adapter resident. Adding the same grant again has no effect.
    void grant(const Core::AdapterVersion &adapter, const Core::GrantId &grant, Core::TimePoint now);
    // Returns false if no slot has the grant.
    bool release(const Core::GrantId &grant, Core::TimePoint now);
    [[nodiscard]] std::size_t grantCount() const;

private:
    std::string m_incarnation;
    std::uint32_t m_slotCount = 0;
    std::map<Core::AdapterVersion, Slot> m_slots;
};

}
