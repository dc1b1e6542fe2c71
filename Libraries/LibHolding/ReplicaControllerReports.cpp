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

// What proves the outcome of an order without an answer:
// - A report with a higher count than the order expects proves that one order that expects this count was accepted, and
//   that no other one will be. With a single candidate it is that order: it has been executed or waits for running
//   requests. With several candidates, or if an earlier holder may have sent one, only the adapters in the same report
//   tell them apart: what is listed keeps its place, also if its unload was accepted and waits, until a later report
//   doesn't list it.
// - A report with the expected count proves nothing, since the order may still be on its way.
// - An accepted order proves that no other order that expects the same count will be executed (resolveUncertain).
// - A refused repetition proves that the order itself was accepted, if it is the only candidate (recordExecuted).
// A slot is freed only by an answered unload or by a report that doesn't list the adapter.
std::map<std::string, ReplicaController::Proof> ReplicaController::proofsOf(const Fleet::ReplicaReport &report) const
{
    std::map<std::string, Proof> proofs;
    const auto candidates = std::ranges::count_if(m_slots, [](const auto &slot) {
        return slot.second.uncertainOrderCount.has_value();
    });
    for (const auto &[name, slot] : m_slots) {
        if (slot.uncertainOrderCount.has_value() && report.orderCount > *slot.uncertainOrderCount) {
            proofs[name] = candidates > 1 || !isOnlySender() ? Proof::OneOfSeveral : Proof::Accepted;
        }
    }
    return proofs;
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
    const auto proofs = proofsOf(report);
    for (auto slot = m_slots.begin(); slot != m_slots.end();) {
        auto &state = slot->second;
        const auto found = reported.find(slot->first);
        const auto proof = proofs.find(slot->first);
        const bool isResolvedByAdapters = proof != proofs.end() && proof->second == Proof::OneOfSeveral;
        if (proof != proofs.end()) {
            state.uncertainOrderCount.reset();
        }
        // An unload that the replica has accepted goes on waiting for running requests, while the adapter is listed.
        // That one of several was accepted doesn't say that it was this one.
        const bool isUnloadWaiting
            = state.state == SlotState::Unloading && isWaitingForRequests() && !isResolvedByAdapters;
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
                             .readyAt = m_scheduler.now() + m_coldLoads.firstCheckTime()};
        }
    }
    m_cachedAdapters.insert(report.cachedAdapters.begin(), report.cachedAdapters.end());
    if (!m_orderCount.has_value() || m_countAsOf < reportedUntil) {
        m_orderCount = report.orderCount;
    }
}

}
