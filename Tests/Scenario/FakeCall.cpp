#include <Tests/Scenario/FakeCall.h>

namespace Scenario {

void FakeCallAnswer::refuse(const Front::Refusal &refusal)
{
    m_refusal = refusal;
}

void FakeCallAnswer::deliver(const Ledger::CallResult &result, Service::ResponseOrigin origin)
{
    m_result = result;
    m_origin = origin;
}

std::string FakeCallAnswer::outcome() const
{
    if (m_result.has_value()) {
        return m_origin == Service::ResponseOrigin::Record ? "replayed" : "completed";
    }
    if (!m_refusal.has_value()) {
        return "waiting";
    }
    return m_refusal->outcome == Front::Outcome::Completed ? "ran" : std::string(Front::toText(m_refusal->outcome));
}

const std::optional<Front::Refusal> &FakeCallAnswer::refusal() const
{
    return m_refusal;
}

const std::optional<Ledger::CallResult> &FakeCallAnswer::result() const
{
    return m_result;
}

}
