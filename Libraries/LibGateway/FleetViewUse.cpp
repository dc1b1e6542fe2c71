// The demand for adapters, the speed of replicas, and what this host reports about its use of them.
#include <LibGateway/FleetView.h>

#include <algorithm>

namespace Gateway {

namespace {

// How often an unchanged use of a replica is reported to its holder. Holders and their notices expire after 1.5
// seconds.
constexpr auto UseRefreshPeriod = std::chrono::milliseconds(450);
// With fewer prompt tokens, other delays than the prefill decide when the first event comes.
constexpr std::uint64_t MinPrefillTokens = 500;
// Measured times that differ from what the holder knows by this multiple are reported at once, but not more often than
// this.
constexpr double MinNewSpeed = 1.5;
constexpr std::uint32_t MinNewSpeedSamples = 2;
constexpr auto MinNewSpeedPeriod = std::chrono::milliseconds(150);

}

void FleetView::recordDemand(const CallerRequest &request, Core::TimePoint now)
{
    if (!request.adapter.empty()) {
        m_demand.recordRequest(adapterName(request), now);
    }
}

double FleetView::demandFor(const std::string &adapter, OwnDemand own, Core::TimePoint now) const
{
    // Every host receives about an equal share of the requests. The request being placed is no evidence of others.
    const auto others = m_demand.count(adapter, now) + (own == OwnDemand::Unrecorded ? 1 : 0) - 1;
    return others <= 0 ? 0 : Placement::AdapterDemand::rateOf(others) * static_cast<double>(m_hostCount());
}

void FleetView::MeasuredTimes::record(double microseconds)
{
    last[samples % last.size()] = microseconds;
    ++samples;
}

double FleetView::MeasuredTimes::shortest() const
{
    const auto count = std::min<std::size_t>(samples, last.size());
    return count == 0 ? 0 : *std::min_element(last.begin(), last.begin() + static_cast<std::ptrdiff_t>(count));
}

void FleetView::setMemory(MemoryFunction memory)
{
    m_memory = std::move(memory);
}

void FleetView::setPauseLimit(PauseLimitFunction pauseLimit)
{
    m_pauseLimit = std::move(pauseLimit);
}

const Placement::ReplicaSpeed &FleetView::speed() const
{
    return m_speed;
}

std::uint64_t FleetView::tokensUntilFirstEvent(const Fleet::Replica &replica) const
{
    const auto found = m_views.find(replica.id);
    if (found == m_views.end() || found->second.active + found->second.otherHostsActive > replica.slots) {
        return 0;
    }
    return found->second.waitingTokens + found->second.otherHostsWaitingTokens;
}

void FleetView::recordPrefill(const Core::TargetId &replica, std::uint64_t tokens, Core::Duration time)
{
    if (tokens >= MinPrefillTokens) {
        const auto microseconds = std::chrono::duration<double, std::micro>(time).count();
        m_views[replica].prefillTimes.record(microseconds * 1000 / static_cast<double>(tokens));
    }
}

void FleetView::recordEventTime(const Core::TargetId &replica, Core::Duration time)
{
    m_views[replica].eventTimes.record(std::chrono::duration<double, std::micro>(time).count());
}

void FleetView::recordResponseTime(const Fleet::Replica &replica, const std::string &route, Core::Duration time,
                                   Core::TimePoint now)
{
    m_speed.recordResponse(replica.service, replica.id, route, time, now);
}

void FleetView::applySpeed(ReplicaView &view, const Holding::ReplicaLoad &load, Core::TimePoint now)
{
    view.knownEventMicroseconds = load.eventSamples > 0 ? load.eventMicroseconds : 0;
    if (const auto *replica = m_replicas.find(load.replica); replica != nullptr) {
        const Placement::LearnedTime event {.time = static_cast<double>(load.eventMicroseconds),
                                            .samples = static_cast<double>(load.eventSamples)};
        const Placement::LearnedTime prefill {.time = static_cast<double>(load.prefillMicroseconds),
                                              .samples = static_cast<double>(load.prefillSamples)};
        m_speed.recordEngineTimes(replica->service, load.replica, {.event = event, .prefill = prefill}, now);
    }
}

bool FleetView::hasNewSpeed(const ReplicaView &view, Core::TimePoint now)
{
    if (view.eventTimes.samples < MinNewSpeedSamples || view.knownEventMicroseconds == 0
        || now - view.reportedAt < MinNewSpeedPeriod) {
        return false;
    }
    const auto measured = view.eventTimes.shortest();
    const auto known = static_cast<double>(view.knownEventMicroseconds);
    return std::max(measured, known) >= std::min(measured, known) * MinNewSpeed;
}

std::vector<Holding::ReplicaUse> FleetView::collectUse(Core::TimePoint now)
{
    m_speed.update(now);
    m_returns.settleAll(now);
    std::vector<Holding::ReplicaUse> uses;
    for (auto &[id, view] : m_views) {
        Holding::ReplicaUse use {.replica = id,
                                 .active = view.active,
                                 .waitingTokens = view.waitingTokens,
                                 .adapters = {},
                                 .recentlySent = view.limit.recent(now),
                                 .isLimited = view.limit.isSet(),
                                 .usedTokens = view.usedTokens,
                                 .eventMicroseconds = static_cast<std::uint32_t>(view.eventTimes.shortest()),
                                 .eventSamples = view.eventTimes.samples,
                                 .prefillMicroseconds = static_cast<std::uint32_t>(view.prefillTimes.shortest()),
                                 .prefillSamples = view.prefillTimes.samples,
                                 .returnSigns = m_returns.signs(id, now)};
        for (const auto &[name, count] : view.running) {
            use.adapters.push_back(name);
        }
        use.adapters.insert(use.adapters.end(), view.recentlyUsed.begin(), view.recentlyUsed.end());
        view.recentlyUsed.clear();
        const bool isUsed = use.active > 0 || !use.adapters.empty() || (use.isLimited && use.recentlySent > 0)
            || use.returnSigns != Holding::ReturnSigns {};
        const bool isDue = isUsed && now - view.reportedAt >= UseRefreshPeriod;
        const bool isChanged = use.active != view.reported.active || use.waitingTokens != view.reported.waitingTokens
            || use.adapters != view.reported.adapters
            || (use.isLimited && use.recentlySent != view.reported.recentlySent)
            || use.returnSigns != view.reported.returnSigns;
        if (isDue || isChanged || hasNewSpeed(view, now)) {
            view.eventTimes = {};
            view.prefillTimes = {};
            view.reported = use;
            view.reportedAt = now;
            uses.push_back(std::move(use));
        }
    }
    return uses;
}

}
