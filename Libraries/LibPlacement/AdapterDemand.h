#pragma once

#include <LibCore/Time.h>
#include <map>
#include <string>

namespace Placement {

// Counts the recent requests for each adapter that this host itself has received.
class AdapterDemand
{
public:
    void recordRequest(const std::string &adapter, Core::TimePoint now);
    // The number of recent requests for the adapter, weighted by an exponential decay over a few seconds.
    [[nodiscard]] double count(const std::string &adapter, Core::TimePoint now) const;
    // Converts a decayed count to requests per second.
    [[nodiscard]] static double rateOf(double count);
    // Removes adapters whose count has decayed to almost zero. To be called periodically.
    void prune(Core::TimePoint now);

private:
    struct Record {
        double count = 0; // As of countedAt; decays exponentially.
        Core::TimePoint countedAt {};
    };

    [[nodiscard]] static double decayed(const Record &record, Core::TimePoint now);

    std::map<std::string, Record> m_records;
};

}
