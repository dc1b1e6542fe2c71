#pragma once

#include <LibService/ServiceAnswer.h>
#include <memory>
#include <optional>
#include <string>

namespace Scenario {

// What one caller has seen of its answer from a plain service.
class FakeCallAnswer final : public Service::ServiceAnswer
{
public:
    void refuse(const Front::Refusal &refusal) override;
    void deliver(const Ledger::CallResult &result, Service::AnswerOrigin origin) override;

    // "waiting", "completed", "replayed", "not-run", "unknown" or "ran".
    [[nodiscard]] std::string outcome() const;
    [[nodiscard]] const std::optional<Front::Refusal> &refusal() const;
    [[nodiscard]] const std::optional<Ledger::CallResult> &result() const;

private:
    std::optional<Front::Refusal> m_refusal;
    std::optional<Ledger::CallResult> m_result;
    Service::AnswerOrigin m_origin = Service::AnswerOrigin::Service;
};

// One call that a caller sent.
struct FakeCall {
    std::string key;
    std::shared_ptr<FakeCallAnswer> answer;
};

}
