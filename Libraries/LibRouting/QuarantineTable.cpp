#include <LibRouting/QuarantineTable.h>

#include <LibCore/Rendezvous.h>

namespace Routing {

std::uint64_t fingerprintOf(const Core::CustomerId &customer, const Core::AdapterVersion &adapter,
                            std::string_view prompt)
{
    return Core::stableHash(prompt, Core::stableHash(adapter.toString(), Core::stableHash(customer.value)));
}

QuarantineTable::QuarantineTable(QuarantineTableOptions options)
    : m_options(options)
{
}

bool QuarantineTable::add(std::uint64_t fingerprint, std::span<const TargetDeath> deaths, Core::TimePoint now)
{
    removeOldEntries(now);
    const auto [found, isNew] = m_entries.try_emplace(fingerprint);
    auto &entry = found->second;
    if (isNew) {
        entry.agePosition = m_byAge.insert(m_byAge.end(), fingerprint);
    }
    const auto before = entry.deaths.size();
    for (const auto &death : deaths) {
        if (entry.deaths.size() < m_options.deathsUntilRefused) {
            entry.deaths.insert(death);
        }
    }
    const bool isChanged = entry.deaths.size() > before;
    if (isChanged) {
        entry.expiry = now + m_options.lifetime;
        m_byAge.splice(m_byAge.end(), m_byAge, entry.agePosition);
    }
    removeOldEntries(now);
    return isChanged;
}

bool QuarantineTable::clear(std::uint64_t fingerprint, Core::TimePoint now)
{
    if (suspicionOf(fingerprint, now) != Suspicion::Suspect) {
        return false;
    }
    const auto found = m_entries.find(fingerprint);
    m_byAge.erase(found->second.agePosition);
    m_entries.erase(found);
    return true;
}

Suspicion QuarantineTable::suspicionOf(std::uint64_t fingerprint, Core::TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expiry <= now) {
        return Suspicion::None;
    }
    return found->second.deaths.size() >= m_options.deathsUntilRefused ? Suspicion::Refused : Suspicion::Suspect;
}

std::size_t QuarantineTable::size() const
{
    return m_entries.size();
}

void QuarantineTable::removeOldEntries(Core::TimePoint now)
{
    while (!m_byAge.empty()) {
        const auto oldest = m_entries.find(m_byAge.front());
        const bool isNeeded = oldest->second.expiry > now || oldest->second.deaths.empty();
        if (m_entries.size() <= m_options.maxEntries && isNeeded) {
            return;
        }
        m_entries.erase(oldest);
        m_byAge.pop_front();
    }
}

}
