#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <unordered_map>

namespace Policy {

struct PopularityOptions {
    Core::Duration longHalfLife = std::chrono::minutes(30);
    Core::Duration shortHalfLife = std::chrono::minutes(2);
    std::size_t maxAdapters = 16384; // Adapters with a request count, resident or not.
};

// Estimates the recent request rate of each adapter, resident or not. Requests are counted with exponential decay, with
// a long and a short half-life: the long one ranks adapters reliably under a steady skew, the short one follows changes
// quickly. The estimate is a weighted mean of both. A request for an evicted adapter shows that it was evicted too
// early, and shifts the weight to the half-life that ranked the adapter above the one that replaced it.
class Popularity
{
public:
    explicit Popularity(PopularityOptions options = {});

    // Counts one request.
    void count(const Core::AdapterVersion &adapter, Core::TimePoint now);
    // Returns the weighted estimate in requests per second.
    [[nodiscard]] double rate(const Core::AdapterVersion &adapter, Core::TimePoint now) const;
    // Records how both half-lives ranked the evicted adapter against the one that replaced it.
    void recordEviction(const Core::AdapterVersion &victim, const Core::AdapterVersion &successor, Core::TimePoint now);
    // Returns the weight of the short half-life, from zero to one.
    [[nodiscard]] double shortWeight() const;

private:
    struct Counts {
        double longCount = 0;
        double shortCount = 0;
        Core::TimePoint countedAt {};
        // The half-life that would not have evicted it the last time; None if both agreed.
        enum class Dissent { None, Long, Short } dissent = Dissent::None;
    };

    [[nodiscard]] Counts countsAt(const Core::AdapterVersion &adapter, Core::TimePoint now) const;
    void removeLeastPopular(Core::TimePoint now);

    PopularityOptions m_options;
    double m_shortWeight = 0.1;
    std::unordered_map<Core::AdapterVersion, Counts> m_counts;
};

}
