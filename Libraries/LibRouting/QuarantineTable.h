#pragma once

#include <LibCore/Time.h>
#include <LibRouting/RoutingMessages.h>
#include <list>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>

namespace Routing {

struct QuarantineTableOptions {
    std::size_t deathsUntilRefused = 2;
    // Deaths during unrelated requests of which none explains more deaths than the others refuse them all only from
    // this number on, because further deaths usually tell them apart.
    std::size_t deathsUntilUndistinguishedRefused = 2;
    std::size_t deathsKept = 2; // Deaths of an entry beyond this number aren't recorded.
    // Deaths within this time of each other have a common cause, such as a power failure, and count once.
    Core::Duration simultaneity {};
    Core::Duration lifetime = std::chrono::minutes(10); // An entry expires this long after its last death.
    // Deaths don't count against a fingerprint for this long after a request with it has run to completion.
    Core::Duration trust {};
    std::size_t maxEntries = 10000;
};

enum class Suspicion : std::uint8_t {
    None,
    // A target died while it ran the request. No two suspects run on one target at the same time.
    Suspect,
    // Enough targets died while they ran the request, so it is refused.
    Refused,
};

// Identifies a request by its content, so that repetitions of it match whichever host receives them.
[[nodiscard]] std::uint64_t fingerprintOf(const Core::CustomerId &customer, const Core::AdapterVersion &adapter,
                                          std::string_view prompt);

// Identifies a request without a customer and an adapter by its path and body.
[[nodiscard]] std::uint64_t fingerprintOfRequest(std::string_view path, std::string_view body);

// Identifies a part of a prompt that different requests share.
[[nodiscard]] std::uint64_t fingerprintOfPart(std::string_view part);

// The fingerprints of requests or of parts of their prompts during which targets died. Deaths are counted by target
// incarnation, so that a death reported by several hosts counts once. A death that another fingerprint with more deaths
// explains doesn't count towards a refusal. Entries expire; when the table is full, the oldest entry is removed.
class QuarantineTable
{
public:
    explicit QuarantineTable(QuarantineTableOptions options);

    // Adds the deaths that the notice reports. Returns true if it changed anything.
    bool add(const QuarantineNotice &notice, Core::TimePoint now);
    bool add(std::uint64_t fingerprint, std::span<const TargetDeath> deaths, Core::TimePoint now);
    // Removes a suspect that has since run to completion, and returns true if there was one. A refused request stays.
    bool clear(std::uint64_t fingerprint, Core::TimePoint now);
    // Removes the fingerprints of a request that has run to completion, also from what was refused together with
    // others. Returns true if it changed anything.
    bool clear(std::span<const std::uint64_t> fingerprints, Core::TimePoint now);
    // Whether deaths don't count against the fingerprint at present, because it has just run to completion.
    [[nodiscard]] bool isTrusted(std::uint64_t fingerprint, Core::TimePoint now) const;
    [[nodiscard]] Suspicion suspicionOf(std::uint64_t fingerprint, Core::TimePoint now) const;
    // The suspicion of a request with these fingerprints. If a fingerprint was always seen together with others, only
    // requests with all of them are refused.
    [[nodiscard]] Suspicion suspicionOf(std::span<const std::uint64_t> fingerprints, Core::TimePoint now) const;
    // The notices from which another host's table learns what this one refuses, the latest first.
    [[nodiscard]] std::vector<QuarantineNotice> refusals(std::size_t limit, Core::TimePoint now) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        std::set<TargetDeath> deaths;
        std::vector<std::uint64_t> companions; // What all requests with this fingerprint had in common.
        bool isRefused = false;
        Core::TimePoint lastDeathAt {};
        std::list<std::uint64_t>::iterator agePosition;
    };
    using EntriesByDeaths = std::map<std::set<TargetDeath>, std::vector<Entry *>>;

    [[nodiscard]] bool isExpired(const Entry &entry, Core::TimePoint now) const;
    void remove(std::uint64_t fingerprint);
    void removeOldEntries(Core::TimePoint now);
    void trust(std::uint64_t fingerprint, Core::TimePoint now);
    void removeOldCompletions(Core::TimePoint now);
    // Decides again which entries are refused.
    void updateRefusals();
    // Whether the entries, whose deaths are the same, may be refused: there is one, or they always come together, or
    // further deaths haven't told them apart.
    [[nodiscard]] bool isDistinguished(const std::set<TargetDeath> &deaths, std::span<Entry *const> entries) const;

    QuarantineTableOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_byAge; // The entry that expires first is at the front.
    std::unordered_map<std::uint64_t, Core::TimePoint> m_completedAt;
};

}
