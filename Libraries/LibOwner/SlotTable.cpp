#include <LibOwner/SlotTable.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Owner {

void SlotTable::reset(std::string incarnation, std::uint32_t slotCount)
{
    m_incarnation = std::move(incarnation);
    m_slotCount = slotCount;
    m_slots.clear();
}

const std::string &SlotTable::incarnation() const
{
    return m_incarnation;
}

std::uint32_t SlotTable::slotCount() const
{
    return m_slotCount;
}

const Slot *SlotTable::find(const Core::AdapterVersion &adapter) const
{
    const auto found = m_slots.find(adapter);
    return found == m_slots.end() ? nullptr : &found->second;
}

const std::map<Core::AdapterVersion, Slot> &SlotTable::slots() const
{
    return m_slots;
}

bool SlotTable::hasFreeSlot() const
{
    return m_slots.size() < m_slotCount;
}

std::vector<Core::AdapterVersion> SlotTable::evictable() const
{
    std::vector<Core::AdapterVersion> idle;
    for (const auto &[adapter, slot] : m_slots) {
        if (slot.state == SlotState::Ready && slot.grants.empty()) {
            idle.push_back(adapter);
        }
    }
    std::sort(idle.begin(), idle.end(), [this](const auto &left, const auto &right) {
        return m_slots.at(left).lastUsed < m_slots.at(right).lastUsed;
    });
    return idle;
}

void SlotTable::beginLoad(const Core::AdapterVersion &adapter, Core::TimePoint now)
{
    VERIFY(hasFreeSlot());
    VERIFY(find(adapter) == nullptr);
    m_slots[adapter] = {.state = SlotState::Loading, .lastUsed = now};
}

void SlotTable::finishLoad(const Core::AdapterVersion &adapter)
{
    auto &slot = m_slots.at(adapter);
    VERIFY(slot.state == SlotState::Loading);
    slot.state = SlotState::Ready;
}

void SlotTable::beginUnload(const Core::AdapterVersion &adapter)
{
    auto &slot = m_slots.at(adapter);
    VERIFY(slot.state == SlotState::Ready);
    VERIFY(slot.grants.empty());
    slot.state = SlotState::Unloading;
}

void SlotTable::cancelUnload(const Core::AdapterVersion &adapter)
{
    auto &slot = m_slots.at(adapter);
    VERIFY(slot.state == SlotState::Unloading);
    slot.state = SlotState::Ready;
}

void SlotTable::remove(const Core::AdapterVersion &adapter)
{
    m_slots.erase(adapter);
}

void SlotTable::addReported(const Core::AdapterVersion &adapter, Core::TimePoint now)
{
    VERIFY(find(adapter) == nullptr);
    m_slots[adapter] = {.state = SlotState::Ready, .lastUsed = now};
}

void SlotTable::grant(const Core::AdapterVersion &adapter, const Core::GrantId &grant, Core::TimePoint now)
{
    auto &slot = m_slots.at(adapter);
    VERIFY(slot.state == SlotState::Ready);
    slot.grants.insert(grant);
    slot.lastUsed = now;
}

bool SlotTable::release(const Core::GrantId &grant, Core::TimePoint now)
{
    for (auto &[adapter, slot] : m_slots) {
        if (slot.grants.erase(grant) > 0) {
            slot.lastUsed = now;
            return true;
        }
    }
    return false;
}

std::size_t SlotTable::grantCount() const
{
    std::size_t count = 0;
    for (const auto &[adapter, slot] : m_slots) {
        count += slot.grants.size();
    }
    return count;
}

}
