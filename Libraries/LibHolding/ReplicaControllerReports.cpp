// The part of ReplicaController that reads and applies reports.
#include <LibHolding/ReplicaController.h>

#include <LibFleet/AdapterName.h>
#include <algorithm>

namespace Holding {

Core::Duration ReplicaController::reportDelay() const
{
    if (m_models.empty() || m_isUnreachable) {
        return m_options.unavailableReportPeriod;
    }
    const bool isSteady
        = m_orderCount.has_value() && !m_waitingForRequestsSince.has_value()
        && std::all_of(m_slots.begin(), m_slots.end(), [](const auto &slot) {
               return !slot.second.uncertainOrderCount.has_value()
                   && (slot.second.state == SlotState::Resident || slot.second.state == SlotState::Loading);
           });
    return isSteady ? m_options.steadyReportPeriod : m_options.reportPeriod;
}

void ReplicaController::readReport()
{
    m_hasReportInFlight = true;
    const auto askedAt = m_scheduler.now();
    m_nextReport = askedAt + reportDelay();
    m_link.report(m_replica, [this, isAlive = m_isAlive, askedAt](const std::optional<Fleet::ReplicaReport> &report) {
        if (!*isAlive) {
            return;
        }
        m_hasReportInFlight = false;
        if (report.has_value()) {
            m_isUnreachable = false;
            applyReport(*report, askedAt);
            sendNextOrder();
        }
    });
}

void ReplicaController::applyReport(const Fleet::ReplicaReport &report, Core::TimePoint askedAt)
{
    if (report.startedAt != 0 && m_replica.startedAt != 0 && report.startedAt != m_replica.startedAt) {
        return;
    }
    const auto reportedUntil = askedAt - m_options.reportLag;
    std::map<std::string, std::uint64_t> reported;
    std::set<std::string> models;
    for (const auto &model : report.models) {
        models.insert(model.model);
        for (const auto &adapter : model.adapters) {
            reported[Fleet::adapterName(model.model, adapter.adapter)] = adapter.version;
        }
    }
    std::map<std::string, std::uint64_t> inProgress;
    for (const auto &text : report.loadingAdapters) {
        const auto at = text.rfind('@');
        inProgress[text.substr(0, at)]
            = at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + 1, nullptr, 10);
    }
    m_models = models;
    m_isModelLoading = report.isBusy || (m_isModelLoading && m_countAsOf > reportedUntil);
    const bool isStillThere = std::any_of(m_slots.begin(), m_slots.end(), [&reported](const auto &slot) {
        return slot.second.state == SlotState::Unloading && reported.contains(slot.first);
    });
    if (m_waitingForRequestsSince.has_value() && *m_waitingForRequestsSince < reportedUntil && !isStillThere) {
        endWaitForRequests();
    }
    const auto uncertain = std::ranges::count_if(m_slots, [](const auto &slot) {
        return slot.second.uncertainOrderCount.has_value();
    });
    for (auto slot = m_slots.begin(); slot != m_slots.end();) {
        auto &state = slot->second;
        const auto found = reported.find(slot->first);
        const bool isResolved = state.uncertainOrderCount.has_value() && report.orderCount > *state.uncertainOrderCount;
        if (isResolved) {
            state.uncertainOrderCount.reset();
        }
        // This order was executed, or one of an earlier holder, or another one of this holder that expected the same
        // count; the adapters in the report show which.
        const bool isResolvedByAdapters = isResolved && (!isOnlySender() || uncertain > 1);
        const bool isUnloadWaiting = state.state == SlotState::Unloading && isWaitingForRequests();
        const bool isCoveredByReport = (state.changedAt < reportedUntil || isResolvedByAdapters)
            && !state.uncertainOrderCount.has_value() && !isUnloadWaiting;
        if (isCoveredByReport && found != reported.end()) {
            state.version = found->second;
            const bool isOutdated
                = state.state == SlotState::Replacing && found->second < m_releases.newestVersion(slot->first);
            state.state = isOutdated ? SlotState::Replacing : SlotState::Resident;
            state.isAssumedReady = false;
            ++slot;
        } else if (isCoveredByReport && !inProgress.contains(slot->first)) {
            slot = m_slots.erase(slot);
        } else {
            ++slot;
        }
    }
    for (const auto &[name, version] : reported) {
        if (!m_slots.contains(name) && (!m_orderCount.has_value() || m_countAsOf < reportedUntil)) {
            // Other hosts may have requests running on it that their notices don't show yet.
            m_slots[name] = {.version = version, .changedAt = reportedUntil, .lastUsed = m_scheduler.now()};
        }
    }
    for (const auto &[name, version] : inProgress) {
        if (!m_slots.contains(name) && (!m_orderCount.has_value() || m_countAsOf < reportedUntil)) {
            m_slots[name] = {.version = version,
                             .state = SlotState::Loading,
                             .changedAt = m_scheduler.now(),
                             .lastUsed = reportedUntil,
                             .readyAt = m_scheduler.now() + m_coldLoads.nominalTime()};
        }
    }
    m_cachedAdapters.insert(report.cachedAdapters.begin(), report.cachedAdapters.end());
    if (!m_orderCount.has_value() || m_countAsOf < reportedUntil) {
        m_orderCount = report.orderCount;
    }
}

}
