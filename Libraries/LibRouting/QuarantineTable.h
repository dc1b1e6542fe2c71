#pragma once

#include <LibCore/Time.h>
#include <LibRouting/RoutingMessages.h>
#include <list>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>

namespace Routing {

struct QuarantineTableOptions {
    std::size_t deathsUntilRefused = 2;
    Core::Duration lifetime = std::chrono::minutes(10); // An entry expires this long after its last death.
    std::size_t maxEntries = 10000;
};

enum class Suspicion : std::uint8_t {
    None,
    // A target died while it ran the request. No two suspects run on one target at the same time.
    Suspect,
    // At least deathsUntilRefused targets died while they ran the request, so it is refused.
    Refused,
};

// Identifies a request by its content, so that repetitions of it match whichever host receives them.
[[nodiscard]] std::uint64_t fingerprintOf(const Core::CustomerId &customer, const Core::AdapterVersion &adapter,
                                          std::string_view prompt);

// The requests during which targets died, by fingerprint. Deaths are counted by target incarnation, so that a death
// reported by several hosts counts once. Entries expire; when the table is full, the oldest entry is removed.
class QuarantineTable
{
public:
    explicit QuarantineTable(QuarantineTableOptions options);

    // Returns true if any of the deaths was new.
    bool add(std::uint64_t fingerprint, std::span<const TargetDeath> deaths, Core::TimePoint now);
    // Removes a suspect that has since run to completion, and returns true if there was one. A refused request stays.
    bool clear(std::uint64_t fingerprint, Core::TimePoint now);
    [[nodiscard]] Suspicion suspicionOf(std::uint64_t fingerprint, Core::TimePoint now) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        std::set<TargetDeath> deaths;
        Core::TimePoint expiry {};
        std::list<std::uint64_t>::iterator agePosition;
    };

    void removeOldEntries(Core::TimePoint now);

    QuarantineTableOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_byAge; // The entry that expires first is at the front.
};

}
