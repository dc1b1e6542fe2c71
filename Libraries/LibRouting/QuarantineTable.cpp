#include <LibRouting/QuarantineTable.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>
#include <iterator>

namespace Routing {

std::uint64_t fingerprintOf(const Core::CustomerId &customer, const Core::AdapterVersion &adapter,
                            std::string_view prompt)
{
    return Core::stableHash(prompt, Core::stableHash(adapter.toString(), Core::stableHash(customer.value)));
}

std::uint64_t fingerprintOfRequest(std::string_view path, std::string_view body)
{
    return Core::stableHash(body, Core::stableHash(path));
}

std::uint64_t fingerprintOfPart(std::string_view part)
{
    return Core::stableHash(part);
}

QuarantineTable::QuarantineTable(QuarantineTableOptions options)
    : m_options(options)
{
}

bool QuarantineTable::add(std::uint64_t fingerprint, std::span<const TargetDeath> deaths, Core::TimePoint now)
{
    return add({.fingerprint = fingerprint, .deaths = {deaths.begin(), deaths.end()}}, now);
}

bool QuarantineTable::add(const QuarantineNotice &notice, Core::TimePoint now)
{
    removeOldEntries(now);
    const auto lastDeathAt = now - std::chrono::milliseconds(notice.ageMilliseconds);
    if (isTrusted(notice.fingerprint, now) || now - lastDeathAt >= m_options.lifetime) {
        return false;
    }
    const auto [found, isNew] = m_entries.try_emplace(notice.fingerprint);
    auto &entry = found->second;
    if (isNew) {
        entry.agePosition = m_byAge.insert(m_byAge.end(), notice.fingerprint);
        entry.companions = notice.companions;
    } else if (notice.deaths.size() == 1 && now - entry.lastDeathAt < m_options.simultaneity) {
        return false;
    }
    const auto before = entry.deaths.size();
    for (const auto &death : notice.deaths) {
        if (entry.deaths.size() < m_options.deathsKept) {
            entry.deaths.insert(death);
        }
    }
    std::vector<std::uint64_t> common;
    std::ranges::set_intersection(entry.companions, notice.companions, std::back_inserter(common));
    const bool isNarrowed = common.size() < entry.companions.size();
    entry.companions = std::move(common);
    const bool isChanged = entry.deaths.size() > before || isNarrowed;
    if (isChanged) {
        entry.lastDeathAt = std::max(entry.lastDeathAt, lastDeathAt);
        m_byAge.splice(m_byAge.end(), m_byAge, entry.agePosition);
        removeOldEntries(now);
        updateRefusals();
    }
    return isChanged;
}

void QuarantineTable::trust(std::uint64_t fingerprint, Core::TimePoint now)
{
    if (m_options.trust > Core::Duration::zero()) {
        removeOldCompletions(now);
        if (m_completedAt.size() < m_options.maxEntries || m_completedAt.contains(fingerprint)) {
            m_completedAt[fingerprint] = now;
        }
    }
}

void QuarantineTable::remove(std::uint64_t fingerprint)
{
    const auto found = m_entries.find(fingerprint);
    m_byAge.erase(found->second.agePosition);
    m_entries.erase(found);
}

bool QuarantineTable::clear(std::uint64_t fingerprint, Core::TimePoint now)
{
    trust(fingerprint, now);
    if (suspicionOf(fingerprint, now) != Suspicion::Suspect) {
        return false;
    }
    remove(fingerprint);
    updateRefusals();
    return true;
}

bool QuarantineTable::clear(std::span<const std::uint64_t> fingerprints, Core::TimePoint now)
{
    bool isChanged = false;
    for (const auto fingerprint : fingerprints) {
        trust(fingerprint, now);
        if (!m_entries.contains(fingerprint)) {
            continue;
        }
        remove(fingerprint);
        for (auto &[other, entry] : m_entries) {
            std::erase(entry.companions, fingerprint);
        }
        isChanged = true;
    }
    if (isChanged) {
        updateRefusals();
    }
    return isChanged;
}

bool QuarantineTable::isTrusted(std::uint64_t fingerprint, Core::TimePoint now) const
{
    const auto found = m_completedAt.find(fingerprint);
    return found != m_completedAt.end() && now - found->second < m_options.trust;
}

Suspicion QuarantineTable::suspicionOf(std::uint64_t fingerprint, Core::TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || isExpired(found->second, now)) {
        return Suspicion::None;
    }
    return found->second.isRefused ? Suspicion::Refused : Suspicion::Suspect;
}

Suspicion QuarantineTable::suspicionOf(std::span<const std::uint64_t> fingerprints, Core::TimePoint now) const
{
    auto highest = Suspicion::None;
    for (const auto fingerprint : fingerprints) {
        const auto suspicion = suspicionOf(fingerprint, now);
        if (suspicion == Suspicion::None) {
            continue;
        }
        const auto isPresent = [fingerprints](std::uint64_t companion) {
            return std::ranges::find(fingerprints, companion) != fingerprints.end();
        };
        if (suspicion == Suspicion::Refused && std::ranges::all_of(m_entries.at(fingerprint).companions, isPresent)) {
            return Suspicion::Refused;
        }
        highest = Suspicion::Suspect;
    }
    return highest;
}

std::vector<QuarantineNotice> QuarantineTable::refusals(std::size_t limit, Core::TimePoint now) const
{
    std::vector<QuarantineNotice> notices;
    for (auto position = m_byAge.rbegin(); position != m_byAge.rend() && notices.size() < limit; ++position) {
        const auto fingerprint = *position;
        const auto &entry = m_entries.at(fingerprint);
        if (entry.isRefused && !isExpired(entry, now)) {
            notices.push_back(
                {.fingerprint = fingerprint,
                 .deaths = {entry.deaths.begin(), entry.deaths.end()},
                 .companions = entry.companions,
                 .ageMilliseconds = static_cast<std::uint64_t>(Core::toMilliseconds(now - entry.lastDeathAt))});
        }
    }
    return notices;
}

std::size_t QuarantineTable::size() const
{
    return m_entries.size();
}

bool QuarantineTable::isExpired(const Entry &entry, Core::TimePoint now) const
{
    return now - entry.lastDeathAt >= m_options.lifetime;
}

void QuarantineTable::removeOldEntries(Core::TimePoint now)
{
    while (!m_byAge.empty()) {
        const auto oldest = m_entries.find(m_byAge.front());
        const bool isNeeded = !isExpired(oldest->second, now) || oldest->second.deaths.empty();
        if (m_entries.size() <= m_options.maxEntries && isNeeded) {
            return;
        }
        m_entries.erase(oldest);
        m_byAge.pop_front();
    }
}

void QuarantineTable::removeOldCompletions(Core::TimePoint now)
{
    if (m_completedAt.size() >= m_options.maxEntries) {
        std::erase_if(m_completedAt, [this, now](const auto &completion) {
            return now - completion.second >= m_options.trust;
        });
    }
}

bool QuarantineTable::isDistinguished(const std::set<TargetDeath> &deaths, std::span<Entry *const> entries) const
{
    const auto *first = entries.front();
    const bool areOneRequest = std::ranges::all_of(entries, [first](const Entry *entry) {
        return !entry->companions.empty() && entry->companions == first->companions;
    });
    return entries.size() == 1 || areOneRequest || deaths.size() >= m_options.deathsUntilUndistinguishedRefused;
}

void QuarantineTable::updateRefusals()
{
    std::map<std::size_t, EntriesByDeaths, std::greater<>> byDeathCount;
    for (auto &[fingerprint, entry] : m_entries) {
        entry.isRefused = false;
        if (entry.deaths.size() >= m_options.deathsUntilRefused) {
            byDeathCount[entry.deaths.size()][entry.deaths].push_back(&entry);
        }
    }
    std::set<TargetDeath> explained;
    for (const auto &[count, groups] : byDeathCount) {
        std::vector<TargetDeath> explainedByEqual;
        for (const auto &[deaths, entries] : groups) {
            const auto unexplained = std::ranges::count_if(deaths, [&explained](const TargetDeath &death) {
                return !explained.contains(death);
            });
            if (std::cmp_less(unexplained, m_options.deathsUntilRefused) || !isDistinguished(deaths, entries)) {
                continue;
            }
            for (auto *entry : entries) {
                entry->isRefused = true;
            }
            explainedByEqual.insert(explainedByEqual.end(), deaths.begin(), deaths.end());
        }
        explained.insert(explainedByEqual.begin(), explainedByEqual.end());
    }
}

}
