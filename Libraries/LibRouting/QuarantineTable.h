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
    Core::Duration lifetime = std::chrono::minutes(10); // Since the last death.
    std::size_t mostEntries = 10000;
};

enum class Suspicion : std::uint8_t {
    None,
    // A target died while the request ran there; it is to run apart from other suspects.
    Suspect,
    // Targets died often enough; the request is refused.
    Refused,
};

// What names a request whoever sends it and through whichever host.
[[nodiscard]] std::uint64_t fingerprintOf(const Core::CustomerId &customer, const Core::AdapterVersion &adapter,
                                          std::string_view prompt);

// The requests during which targets died, by fingerprint. Deaths are counted by the target's incarnation, so
// that the same death reported by several hosts counts once. Entries age out; the oldest goes when it is full.
class QuarantineTable
{
public:
    explicit QuarantineTable(QuarantineTableOptions options);

    // Adds deaths; returns true when any was new.
    bool add(std::uint64_t fingerprint, std::span<const TargetDeath> deaths, Core::TimePoint now);
    // Forgets a suspect that has since run whole. A refused one stays. Returns true when there was one.
    bool clear(std::uint64_t fingerprint, Core::TimePoint now);
    [[nodiscard]] Suspicion suspicionOf(std::uint64_t fingerprint, Core::TimePoint now) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        std::set<TargetDeath> deaths;
        Core::TimePoint expiry {};
        std::list<std::uint64_t>::iterator place;
    };

    void dropOld(Core::TimePoint now);

    QuarantineTableOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_byAge; // The one that expires first is in front.
};

}
