#include <measure/policy/Trace.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <random>
#include <set>

namespace Measure {

namespace {

// The standard distributions differ between libraries; these draw the same numbers everywhere.
class Draws
{
public:
    explicit Draws(std::uint64_t seed)
        : m_random(seed)
    {
    }

    double unit()
    {
        constexpr unsigned UnusedBits = 11;
        return static_cast<double>(m_random() >> UnusedBits) * 0x1.0p-53;
    }

    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(unit() * bound);
    }

    Core::Duration interval(double perSecond)
    {
        const std::chrono::duration<double> drawn(-std::log1p(-unit()) / perSecond);
        return std::chrono::duration_cast<Core::Duration>(drawn);
    }

private:
    std::mt19937_64 m_random;
};

std::vector<double> cumulativeZipf(std::uint32_t count, double exponent)
{
    std::vector<double> sums(count);
    double sum = 0;
    for (std::uint32_t rank = 0; rank < count; ++rank) {
        sum += 1 / std::pow(rank + 1.0, exponent);
        sums[rank] = sum;
    }
    return sums;
}

struct Period {
    Core::Duration from {};
    Core::Duration to {};
    [[nodiscard]] bool holds(Core::Duration at) const
    {
        return at >= from && at < to;
    }
};

// The middle fifth of the measured time, in which faults and surges fall.
Period middleOf(const Deployment &deployment)
{
    const auto fifth = deployment.measured / 5;
    return {.from = deployment.warmUp + fifth * 2, .to = deployment.warmUp + fifth * 3};
}

std::vector<Fault> makeFaults(std::string_view name, const Period &middle)
{
    if (name == "cold-target") {
        return {{.at = middle.from, .kind = FaultKind::RestartTarget}};
    }
    if (name == "cold-zone") {
        return {{.at = middle.from, .kind = FaultKind::RestartZone}};
    }
    if (name == "store-slow") {
        return {{.at = middle.from, .kind = FaultKind::SlowStore}, {.at = middle.to, .kind = FaultKind::MendStore}};
    }
    if (name == "store-failing") {
        return {{.at = middle.from, .kind = FaultKind::FailingStore}, {.at = middle.to, .kind = FaultKind::MendStore}};
    }
    if (name == "zone-cut") {
        return {{.at = middle.from, .kind = FaultKind::CutZone}, {.at = middle.to, .kind = FaultKind::JoinZone}};
    }
    return {};
}

}

std::vector<std::string> traceNames()
{
    return {"steady", "shift", "surge", "cold-target", "cold-zone", "store-slow", "store-failing", "zone-cut"};
}

Trace makeTrace(const Deployment &deployment, std::string_view name, std::uint64_t seed)
{
    Draws draws(seed);
    const auto middle = middleOf(deployment);
    const auto sums = cumulativeZipf(deployment.adapters, deployment.zipfExponent);
    std::vector<std::uint32_t> byRank(deployment.adapters);
    std::iota(byRank.begin(), byRank.end(), 0);
    bool hasShifted = false;
    Trace trace {.name = std::string(name), .faults = makeFaults(name, middle)};
    const auto end = deployment.warmUp + deployment.measured;
    for (Core::Duration at {};;) {
        const bool isSurge = name == "surge" && middle.holds(at);
        at += draws.interval(deployment.requestsPerSecond * (isSurge ? deployment.surgeFactor : 1));
        if (at >= end) {
            return trace;
        }
        if (name == "shift" && !hasShifted && at >= middle.from) {
            hasShifted = true;
            std::reverse(byRank.begin(), byRank.end());
        }
        const auto drawn = std::lower_bound(sums.begin(), sums.end(), draws.unit() * sums.back());
        const auto rank = static_cast<std::size_t>(std::min(drawn, sums.end() - 1) - sums.begin());
        trace.arrivals.push_back(
            {.at = at,
             .adapter = byRank[rank],
             .customer = byRank[rank] % deployment.customers,
             .zone = draws.below(deployment.zones),
             .tokens = deployment.leastTokens + draws.below(deployment.mostTokens - deployment.leastTokens + 1)});
    }
}

std::uint64_t clairvoyantLoads(const std::vector<Arrival> &arrivals, std::uint32_t slots, Core::Duration countFrom)
{
    constexpr auto Never = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> nextUse(arrivals.size(), Never);
    std::map<std::uint32_t, std::size_t> lastSeen;
    for (std::size_t i = arrivals.size(); i-- > 0;) {
        if (const auto found = lastSeen.find(arrivals[i].adapter); found != lastSeen.end()) {
            nextUse[i] = found->second;
        }
        lastSeen[arrivals[i].adapter] = i;
    }
    std::map<std::uint32_t, std::size_t> resident; // The next use of each.
    std::set<std::pair<std::size_t, std::uint32_t>> byNextUse;
    std::uint64_t loads = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const auto adapter = arrivals[i].adapter;
        if (const auto found = resident.find(adapter); found != resident.end()) {
            byNextUse.erase({found->second, adapter});
        } else {
            loads += arrivals[i].at >= countFrom ? 1 : 0;
            if (resident.size() >= slots) {
                const auto last = std::prev(byNextUse.end());
                resident.erase(last->second);
                byNextUse.erase(last);
            }
        }
        resident[adapter] = nextUse[i];
        byNextUse.emplace(nextUse[i], adapter);
    }
    return loads;
}

}
