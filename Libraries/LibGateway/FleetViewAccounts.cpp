// The part of FleetView that shares plain services without room for all requests between client accounts.
#include <LibGateway/FleetView.h>

namespace Gateway {

std::optional<AccountAdmission> FleetView::accountAdmission(const CallerRequest &request, const std::string &service,
                                                            const RequestAccount &account, Core::TimePoint now) const
{
    if (!account.name.has_value() || !request.model.empty()) {
        return std::nullopt;
    }
    AccountAdmission admission;
    const auto fairShare = m_fairShares.find(service);
    for (const auto *replica : servingReplicas(request, service)) {
        const auto view = m_views.find(replica->id);
        const auto share = view == m_views.end() ? 1 : view->second.admission.share(now);
        if (share >= 1) {
            continue;
        }
        const auto part = fairShare == m_fairShares.end()
            ? share
            : fairShare->second.partOf(*account.name, account.priority.value_or(0), share, now);
        if (!Placement::AdmissionShare::isInPart(request.attemptId, part)) {
            admission.replicasWithoutRoom.insert(replica->id);
            admission.isDueToAccount
                = admission.isDueToAccount || Placement::AdmissionShare::isInPart(request.attemptId, share);
        }
    }
    return admission;
}

void FleetView::recordAccountRequest(const CallerRequest &request, const std::string &service,
                                     const RequestAccount &account, Core::TimePoint now)
{
    if (account.name.has_value() && request.model.empty()) {
        m_fairShares[service].recordRequest(*account.name, account.priority.value_or(0), now);
    }
}

}
