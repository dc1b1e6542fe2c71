#pragma once

#include <LibCore/Time.h>

namespace Policy {

struct LoadBudgetOptions {
    double loadsPerSecond = 0; // This host's share of the weight store's rate; zero means no limit.
    double maxPermits = 1; // Upper bound of the unused permits that accrue.
    std::size_t maxInFlight = 0; // Concurrent loads; zero means no limit.
};

// A token bucket for one host's adapter loads. A permit allows one load; permits accrue at the host's fixed share of
// the weight store's rate. A host without a permit may receive one from a host that has one to spare. A permit lost in
// transit is not replaced, so that all hosts together never exceed the store's rate, even when the network is
// partitioned. A host that is cut off continues with its own share.
class LoadBudget
{
public:
    LoadBudget(LoadBudgetOptions options, Core::TimePoint now);

    // Returns true if a load may begin now.
    [[nodiscard]] bool hasPermit(Core::TimePoint now) const;
    // Spends a permit. hasPermit() must be true.
    void beginLoad(Core::TimePoint now);
    void endLoad();
    // Removes a permit to give it to another host. Returns false if there is none to spare.
    [[nodiscard]] bool lend(Core::TimePoint now);
    // Stores a permit received from another host. At most one is kept.
    void receive();
    // Returns the time until a permit has accrued; zero if one is available or only maxInFlight prevents a load.
    [[nodiscard]] Core::Duration untilPermit(Core::TimePoint now) const;
    [[nodiscard]] std::size_t inFlight() const;
    // Returns true if loads need no permit.
    [[nodiscard]] bool isUnlimited() const;

private:
    [[nodiscard]] double permitsAt(Core::TimePoint now) const;
    void accruePermits(Core::TimePoint now);

    LoadBudgetOptions m_options;
    double m_permits;
    double m_received = 0;
    Core::TimePoint m_accruedAt;
    std::size_t m_inFlight = 0;
};

}
