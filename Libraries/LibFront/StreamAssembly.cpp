#include <LibFront/StreamAssembly.h>

namespace Front {

void StreamAssembly::beginAttempt(Core::AttemptId attempt)
{
    m_attempt = std::move(attempt);
    m_early.clear();
    m_tokenCount.reset();
}

std::string StreamAssembly::accept(const Engine::StreamToken &token)
{
    std::string text;
    if (token.attempt != m_attempt || token.index < m_delivered) {
        return text;
    }
    m_early.emplace(token.index, token.text);
    while (!m_early.empty() && m_early.begin()->first == m_delivered) {
        text += m_early.begin()->second;
        m_early.erase(m_early.begin());
        ++m_delivered;
    }
    return text;
}

void StreamAssembly::acceptEnd(const Engine::StreamEnd &end)
{
    if (end.attempt == m_attempt) {
        m_tokenCount = end.tokenCount;
    }
}

std::uint32_t StreamAssembly::delivered() const
{
    return m_delivered;
}

bool StreamAssembly::isWhole() const
{
    return m_tokenCount == m_delivered;
}

bool StreamAssembly::isContradictory() const
{
    return m_tokenCount.has_value() && *m_tokenCount < m_delivered;
}

}
