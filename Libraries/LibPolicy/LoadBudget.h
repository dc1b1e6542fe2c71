#pragma once

#include <LibCore/Time.h>

namespace Policy {

struct LoadBudgetOptions {
    double loadsPerSecond = 0; // This host's part of what the weight store allows; zero means no limit.
    double mostPermits = 1; // Permits kept for later.
    std::size_t maxInFlight = 0; // Loads that may run at once; zero means no limit.
};

// The permits to load that one host may spend. They accrue at the host's fixed part of the weight store's rate. A host
// that has none may be given one by a host that has one to spare; a permit that is lost on the way is lost. So the
// loads of all hosts together never exceed the store's rate, whoever can reach whom, and a host that is cut off goes
// on with its own part.
class LoadBudget
{
public:
    LoadBudget(LoadBudgetOptions options, Core::TimePoint now);

    // True when a load may begin now.
    [[nodiscard]] bool hasPermit(Core::TimePoint now) const;
    // Spends a permit; there must be one.
    void beginLoad(Core::TimePoint now);
    void endLoad();
    // Gives a permit away. Returns false when there is none to spare.
    [[nodiscard]] bool lend(Core::TimePoint now);
    // Takes a permit that another host has given.
    void receive();
    // How long until a permit has accrued; zero when there is one or when only loads in flight are waited for.
    [[nodiscard]] Core::Duration untilPermit(Core::TimePoint now) const;
    [[nodiscard]] std::size_t inFlight() const;
    // True when no load waits for the rate alone.
    [[nodiscard]] bool isUnlimited() const;

private:
    [[nodiscard]] double permitsAt(Core::TimePoint now) const;
    void settle(Core::TimePoint now);

    LoadBudgetOptions m_options;
    double m_permits;
    double m_received = 0;
    Core::TimePoint m_settledAt;
    std::size_t m_inFlight = 0;
};

}
