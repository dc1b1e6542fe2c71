#include <Tests/Scenario/FakeCaller.h>

namespace Scenario {

void FakeCaller::refuse(const Front::Refusal &refusal)
{
    m_state = State::Refused;
    m_refusal = refusal;
}

void FakeCaller::begin(const Front::ResponseHead &head)
{
    m_state = State::Streaming;
    m_head = head;
}

void FakeCaller::text(std::string_view piece)
{
    m_received += piece;
}

void FakeCaller::finish(std::uint32_t /*tokenCount*/)
{
    m_state = State::Completed;
}

void FakeCaller::abort(const Front::Refusal &reason)
{
    m_state = State::Cut;
    m_refusal = reason;
}

void FakeCaller::lose()
{
    if (m_state == State::Waiting) {
        m_state = State::Lost;
    } else if (m_state == State::Streaming) {
        m_state = State::Cut;
    }
}

FakeCaller::State FakeCaller::state() const
{
    return m_state;
}

const std::string &FakeCaller::received() const
{
    return m_received;
}

const Front::ResponseHead &FakeCaller::head() const
{
    return m_head;
}

const std::optional<Front::Refusal> &FakeCaller::refusal() const
{
    return m_refusal;
}

bool FakeCaller::isToldNotRun() const
{
    return m_state == State::Refused && m_refusal->outcome == Front::Outcome::NotRun;
}

std::string FakeCaller::describe() const
{
    switch (m_state) {
    case State::Waiting:
        return "waiting";
    case State::Streaming:
        return "streaming, got \"" + m_received + '"';
    case State::Completed:
        return "completed by " + m_head.adapter.toString() + " on " + m_head.target.value;
    case State::Refused:
        return "refused (" + std::string(Front::toText(m_refusal->outcome)) + "): " + m_refusal->message;
    case State::Cut:
        return "cut after \"" + m_received + '"';
    case State::Lost:
        return "lost with its entry host";
    }
    return "";
}

}
