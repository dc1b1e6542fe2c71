#pragma once

#include <LibCore/Identifier.h>
#include <measure/policy/Deployment.h>
#include <string>
#include <string_view>
#include <vector>

namespace Measure {

// One request as it arrives, the same for every policy version.
struct Arrival {
    Core::Duration at {};
    std::uint32_t adapter = 0;
    std::uint32_t customer = 0;
    std::uint32_t zone = 0;
    std::uint32_t tokens = 0;
};

enum class FaultKind {
    RestartTarget, // The first target of the first zone comes back with empty slots.
    RestartZone, // Every target of the first zone does.
    SlowStore, // The store allows a quarter of its rate, and loads take four times as long.
    FailingStore, // Every third load fails.
    MendStore,
    CutZone, // The first zone's hosts reach only one another.
    JoinZone,
};

struct Fault {
    Core::Duration at {};
    FaultKind kind = FaultKind::RestartTarget;
};

struct Trace {
    std::string name;
    std::vector<Arrival> arrivals;
    std::vector<Fault> faults;
};

[[nodiscard]] std::vector<std::string> traceNames();
// The same deployment, name and seed always make the same trace. The name must be one of traceNames().
[[nodiscard]] Trace makeTrace(const Deployment &deployment, std::string_view name, std::uint64_t seed);

// A lower bound on the loads that a trace needs: one cache that holds every slot of all zones, requests served one at
// a time in the order of arrival, the victim always the one asked for last (Belady). Requests that wait together for
// one load can go below it. Counted from the given time on.
[[nodiscard]] std::uint64_t clairvoyantLoads(const std::vector<Arrival> &arrivals, std::uint32_t slots,
                                             Core::Duration countFrom);

}
