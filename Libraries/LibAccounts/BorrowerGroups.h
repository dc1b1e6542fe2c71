#pragma once

#include <LibAccounts/DecayingRate.h>
#include <LibCore/Identifier.h>
#include <map>
#include <optional>

namespace Accounts {

struct BorrowerGroupsOptions {
    Core::Duration halfLife = std::chrono::milliseconds(4000); // Of past loans and requests for them.
    // A group counts as silent after this many of its usual intervals between two requests, and at least this time.
    double silentIntervals = 2.5;
    Core::Duration minSilence = std::chrono::milliseconds(500);
    // A host that is cut off refuses requests with a key after about this time, so that nothing is reserved for it.
    Core::Duration maxSilence = std::chrono::milliseconds(5500);
};

// The borrowers of one account, by host and availability zone. A host that can't reach its lender continues at the rate
// at which it was lent to. The lender can't tell such hosts from others without callers, and doesn't lend their rate to
// others for as long as they may use it.
class BorrowerGroups
{
public:
    explicit BorrowerGroups(BorrowerGroupsOptions options = {});

    void recordRequest(const Core::HostId &host, const Core::ZoneId &zone, Core::TimePoint now);
    void recordLoan(const Core::HostId &host, const Core::ZoneId &zone, double amount, Core::TimePoint now);
    // Units per second that hosts which have fallen silent may be using.
    [[nodiscard]] double silentRate(Core::TimePoint now) const;
    // Units per second that were lent lately.
    [[nodiscard]] double lentRate(Core::TimePoint now) const;

private:
    struct Group {
        explicit Group(Core::Duration halfLife);

        DecayingRate lent;
        DecayingRate requests;
        Core::TimePoint requestedAt {};
    };
    struct Zone {
        explicit Zone(Core::Duration halfLife);

        Group all;
        std::map<Core::HostId, Group> hosts;
    };

    Zone &zoneOf(const Core::ZoneId &zone);
    Group &hostOf(const Core::HostId &host, const Core::ZoneId &zone);
    [[nodiscard]] bool isSilent(const Group &group, Core::TimePoint now) const;

    BorrowerGroupsOptions m_options;
    std::map<Core::ZoneId, Zone> m_zones;
    std::optional<Core::TimePoint> m_since; // Of the first loan.
};

}
