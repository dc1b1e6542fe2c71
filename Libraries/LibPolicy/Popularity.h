#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <unordered_map>

namespace Policy {

struct PopularityOptions {
    Core::Duration longHalfLife = std::chrono::minutes(30);
    Core::Duration shortHalfLife = std::chrono::minutes(2);
    std::size_t mostAdapters = 16384; // Adapters remembered, resident or not.
};

// How often each adapter was asked for lately, resident or not. Requests count with exponential decay, once with a
// long and once with a short half-life: the long one tells popular adapters apart under a steady skew, the short one
// follows a shift. Requests for adapters that were evicted too early say which of the two to trust.
class Popularity
{
public:
    explicit Popularity(PopularityOptions options = {});

    // Counts one request.
    void count(const Core::AdapterVersion &adapter, Core::TimePoint now);
    // Requests a second as both half-lives estimate it, weighed by their trust.
    [[nodiscard]] double rate(const Core::AdapterVersion &adapter, Core::TimePoint now) const;
    // Remembers what both half-lives said of an adapter when it was evicted in favour of what stayed.
    void recordEviction(const Core::AdapterVersion &victim, const Core::AdapterVersion &kept, Core::TimePoint now);
    // The weight of the short half-life, from zero to one.
    [[nodiscard]] double shortTrust() const;

private:
    struct Counts {
        double longCount = 0;
        double shortCount = 0;
        Core::TimePoint countedAt {};
        // Which half-life would have kept it at its last eviction; none when they agreed.
        enum class Advocate { None, Long, Short } advocate = Advocate::None;
    };

    [[nodiscard]] Counts countsAt(const Core::AdapterVersion &adapter, Core::TimePoint now) const;
    void forgetUnpopular(Core::TimePoint now);

    PopularityOptions m_options;
    double m_shortTrust = 0.1;
    std::unordered_map<Core::AdapterVersion, Counts> m_counts;
};

}
