#pragma once

#include <LibCore/Time.h>
#include <map>
#include <string>

namespace Placement {

// How often adapters have been asked for of late, as this host has seen it itself.
class AdapterDemand
{
public:
    // Counts a request for the adapter.
    void recordRequest(const std::string &adapter, Core::TimePoint now);
    // Requests of the last few seconds, the older ones counting less.
    [[nodiscard]] double count(const std::string &adapter, Core::TimePoint now) const;
    // The requests a second that such a count stands for.
    [[nodiscard]] static double rateOf(double count);
    // Forgets adapters that nobody asks for any more; called now and then.
    void prune(Core::TimePoint now);

private:
    struct Record {
        double count = 0; // Decays exponentially.
        Core::TimePoint countedAt {};
    };

    [[nodiscard]] static double decayed(const Record &record, Core::TimePoint now);

    std::map<std::string, Record> m_records;
};

}
