// A replica's reports: when they are read, and what they settle.
#include <LibHolding/ReplicaController.h>

#include <LibFleet/AdapterName.h>
#include <algorithm>

namespace Holding {

Core::Duration ReplicaController::reportDelay() const
{
    if (m_models.empty() || m_isUnreachable) {
        return m_options.awaitedReportPeriod;
    }
    const bool isCalm
        = m_orderCount.has_value() && !m_waitsForRunsSince.has_value()
        && std::all_of(m_slots.begin(), m_slots.end(), [](const auto &slot) {
               return !slot.second.uncertainAt.has_value()
                   && (slot.second.state == SlotState::Resident || slot.second.state == SlotState::Loading);
           });
    return isCalm ? m_options.calmReportPeriod : m_options.reportPeriod;
}

void ReplicaController::readReport()
{
    m_isReporting = true;
    const auto askedAt = m_scheduler.now();
    m_nextReport = askedAt + reportDelay();
    m_link.report(m_replica, [this, isAlive = m_isAlive, askedAt](const std::optional<Fleet::ReplicaReport> &report) {
        if (!*isAlive) {
            return;
        }
        m_isReporting = false;
        if (report.has_value()) {
            m_isUnreachable = false;
            takeReport(*report, askedAt);
            pump();
        }
    });
}

void ReplicaController::takeReport(const Fleet::ReplicaReport &report, Core::TimePoint askedAt)
{
    if (report.startedAt != 0 && m_replica.startedAt != 0 && report.startedAt != m_replica.startedAt) {
        return;
    }
    const auto settledBefore = askedAt - m_options.reportLag;
    std::map<std::string, std::uint64_t> reported;
    std::set<std::string> models;
    for (const auto &model : report.models) {
        models.insert(model.model);
        for (const auto &adapter : model.adapters) {
            reported[Fleet::adapterName(model.model, adapter.adapter)] = adapter.version;
        }
    }
    std::map<std::string, std::uint64_t> coming;
    for (const auto &text : report.loadingAdapters) {
        const auto at = text.rfind('@');
        coming[text.substr(0, at)] = at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + 1, nullptr, 10);
    }
    m_models = models;
    m_isModelLoading = report.isBusy || (m_isModelLoading && m_countAsOf > settledBefore);
    const bool isStillThere = std::any_of(m_slots.begin(), m_slots.end(), [&reported](const auto &slot) {
        return slot.second.state == SlotState::Unloading && reported.contains(slot.first);
    });
    if (m_waitsForRunsSince.has_value() && *m_waitsForRunsSince < settledBefore && !isStillThere) {
        endWaitForRuns();
    }
    for (auto slot = m_slots.begin(); slot != m_slots.end();) {
        auto &state = slot->second;
        const auto found = reported.find(slot->first);
        if (state.uncertainAt.has_value() && report.orderCount > *state.uncertainAt) {
            // No other host gives orders, so the order without an answer was carried out.
            state.uncertainAt.reset();
        }
        const bool isLeaving = state.state == SlotState::Unloading && isWaitingForRuns();
        const bool isSettled = state.changedAt < settledBefore && !state.uncertainAt.has_value() && !isLeaving;
        if (isSettled && found != reported.end()) {
            state.version = found->second;
            const bool isOutdated
                = state.state == SlotState::Replacing && found->second < m_releases.newestVersion(slot->first);
            state.state = isOutdated ? SlotState::Replacing : SlotState::Resident;
            state.isAssumedReady = false;
            ++slot;
        } else if (isSettled && !coming.contains(slot->first)) {
            slot = m_slots.erase(slot);
        } else {
            ++slot;
        }
    }
    for (const auto &[name, version] : reported) {
        if (!m_slots.contains(name) && (!m_orderCount.has_value() || m_countAsOf < settledBefore)) {
            // Requests may run on it that other hosts haven't told of yet.
            m_slots[name] = {.version = version, .changedAt = settledBefore, .lastUsed = m_scheduler.now()};
        }
    }
    for (const auto &[name, version] : coming) {
        if (!m_slots.contains(name) && (!m_orderCount.has_value() || m_countAsOf < settledBefore)) {
            m_slots[name] = {.version = version,
                             .state = SlotState::Loading,
                             .changedAt = m_scheduler.now(),
                             .lastUsed = settledBefore,
                             .readyAt = m_scheduler.now() + m_options.coldLoad};
        }
    }
    m_atHand.insert(report.cachedAdapters.begin(), report.cachedAdapters.end());
    if (!m_orderCount.has_value() || m_countAsOf < settledBefore) {
        m_orderCount = report.orderCount;
    }
}

}
