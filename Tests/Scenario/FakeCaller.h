#pragma once

#include <LibFront/CallerResponse.h>
#include <optional>
#include <string>

namespace Scenario {

// What one caller has seen of its answer.
class FakeCaller final : public Front::CallerResponse
{
public:
    enum class State {
        Waiting,
        Streaming,
        // The whole answer has come.
        Completed,
        Refused,
        // The answer began and broke off, and the caller can tell.
        Cut,
        // The entry host died before it answered.
        Lost,
    };

    void refuse(const Front::Refusal &refusal) override;
    void begin(const Front::ResponseHead &head) override;
    void text(std::string_view piece) override;
    void finish(std::uint32_t tokenCount) override;
    void abort(const Front::Refusal &reason) override;
    // The connection to the entry host has broken.
    void lose();

    [[nodiscard]] State state() const;
    [[nodiscard]] const std::string &received() const;
    [[nodiscard]] const Front::ResponseHead &head() const;
    [[nodiscard]] const std::optional<Front::Refusal> &refusal() const;
    // True when the caller was told that its request did not run.
    [[nodiscard]] bool isToldNotRun() const;
    // One line for people.
    [[nodiscard]] std::string describe() const;

private:
    State m_state = State::Waiting;
    std::string m_received;
    Front::ResponseHead m_head;
    std::optional<Front::Refusal> m_refusal;
};

}
