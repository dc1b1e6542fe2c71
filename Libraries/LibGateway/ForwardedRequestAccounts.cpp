// The part of ForwardedRequest that depends on the client account.
#include <LibGateway/ForwardedRequest.h>

namespace Gateway {

int ForwardedRequest::priority() const
{
    return m_account.priority.value_or(m_route.route->priority);
}

bool ForwardedRequest::hasValidKey() const
{
    const bool needsKey = m_account.name.has_value() && !m_account.name->empty();
    return !needsKey || m_dependencies.isKeyValid(m_request.accountKey, *m_account.name);
}

void ForwardedRequest::decideAdmission()
{
    auto account = m_account;
    account.priority = priority();
    m_request.admission = m_dependencies.fleet.accountAdmission(m_request, m_service, account, m_startedAt);
    m_dependencies.fleet.recordAccountRequest(m_request, m_service, account, m_startedAt);
    if (m_request.admission.has_value() && m_request.admission->isDueToAccount) {
        m_dependencies.metrics.count("currantbay_account_fairness_left_out_total");
    }
}

}
