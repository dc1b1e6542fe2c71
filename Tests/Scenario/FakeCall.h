#pragma once

#include <LibService/ServiceResponse.h>
#include <memory>
#include <optional>
#include <string>

namespace Scenario {

// What one caller has seen of its answer from a plain service.
class FakeCallAnswer final : public Service::ServiceResponse
{
public:
    void refuse(const Front::Refusal &refusal) override;
    void deliver(const Ledger::CallResult &result, Service::ResponseOrigin origin) override;

    // "waiting", "completed", "replayed", "not-run", "unknown" or "ran".
    [[nodiscard]] std::string outcome() const;
    [[nodiscard]] const std::optional<Front::Refusal> &refusal() const;
    [[nodiscard]] const std::optional<Ledger::CallResult> &result() const;

private:
    std::optional<Front::Refusal> m_refusal;
    std::optional<Ledger::CallResult> m_result;
    Service::ResponseOrigin m_origin = Service::ResponseOrigin::Service;
};

// One call that a caller sent.
struct FakeCall {
    std::string key;
    std::shared_ptr<FakeCallAnswer> answer;
};

}
