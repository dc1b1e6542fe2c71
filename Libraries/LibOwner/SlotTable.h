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

// One adapter slot of a target, and the grants that keep its adapter resident.
struct Slot {
    SlotState state = SlotState::Loading;
    std::set<Core::GrantId> grants;
    Core::TimePoint lastUsed {};
};

// The slots of one target as its owner decides them. An adapter with a grant is never offered for eviction.
class SlotTable
{
public:
    // A new incarnation means that the target has restarted: its slots are empty and its grants are void.
    void reset(std::string incarnation, std::uint32_t slotCount);
    [[nodiscard]] const std::string &incarnation() const;
    [[nodiscard]] std::uint32_t slotCount() const;

    [[nodiscard]] const Slot *find(const Core::AdapterVersion &adapter) const;
    [[nodiscard]] const std::map<Core::AdapterVersion, Slot> &slots() const;
    [[nodiscard]] bool hasFreeSlot() const;
    // Adapters that are ready and that no grant uses, least recently used first.
    [[nodiscard]] std::vector<Core::AdapterVersion> evictable() const;

    // Takes a free slot for an adapter that is about to load. The table must have one.
    void beginLoad(const Core::AdapterVersion &adapter, Core::TimePoint now);
    void finishLoad(const Core::AdapterVersion &adapter);
    // Marks an adapter as about to go. It must be evictable.
    void beginUnload(const Core::AdapterVersion &adapter);
    // Makes an adapter ready again whose unload was surely not carried out.
    void cancelUnload(const Core::AdapterVersion &adapter);
    // Frees the slot of an adapter whose load failed or that has been unloaded.
    void remove(const Core::AdapterVersion &adapter);

    // Keeps a ready adapter resident on behalf of a grant. Granting twice is the same as once.
    void grant(const Core::AdapterVersion &adapter, const Core::GrantId &grant, Core::TimePoint now);
    // Returns false when no slot holds the grant.
    bool release(const Core::GrantId &grant, Core::TimePoint now);
    [[nodiscard]] std::size_t grantCount() const;

private:
    std::string m_incarnation;
    std::uint32_t m_slotCount = 0;
    std::map<Core::AdapterVersion, Slot> m_slots;
};

}
