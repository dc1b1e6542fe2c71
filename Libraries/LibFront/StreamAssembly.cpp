#include <LibFront/StreamAssembly.h>

#include <LibCore/Rendezvous.h>

namespace Front {

StreamAssembly::StreamAssembly(StreamAssemblyOptions options)
    : m_options(options)
{
}

void StreamAssembly::beginAttempt(Core::AttemptId attempt)
{
    m_attempt = std::move(attempt);
    m_early.clear();
    m_tokenCount.reset();
    m_fault.reset();
}

std::string StreamAssembly::accept(const Engine::StreamToken &token)
{
    std::string text;
    if (token.attempt != m_attempt || m_fault.has_value()) {
        return text;
    }
    if (!agrees(token)) {
        m_fault = StreamFault::Disagreement;
        return text;
    }
    if (token.index < delivered()) {
        return text;
    }
    if (token.index >= m_options.mostTokens || token.index - delivered() >= m_options.mostAhead) {
        m_fault = StreamFault::TooFarAhead;
        return text;
    }
    if (m_tokenCount.has_value() && token.index >= *m_tokenCount) {
        m_fault = StreamFault::WrongEnd;
        return text;
    }
    m_early.emplace(token.index, token.text);
    while (!m_early.empty() && m_early.begin()->first == delivered()) {
        text += m_early.begin()->second;
        m_deliveredHashes.push_back(Core::stableHash(m_early.begin()->second));
        m_early.erase(m_early.begin());
    }
    return text;
}

void StreamAssembly::acceptEnd(const Engine::StreamEnd &end)
{
    if (end.attempt != m_attempt || m_fault.has_value()) {
        return;
    }
    const auto seen = m_early.empty() ? delivered() : m_early.rbegin()->first + 1;
    const bool isOtherEnd = m_tokenCount.has_value() && *m_tokenCount != end.tokenCount;
    if (end.tokenCount < seen || end.tokenCount > m_options.mostTokens || isOtherEnd) {
        m_fault = StreamFault::WrongEnd;
        return;
    }
    m_tokenCount = end.tokenCount;
}

std::uint32_t StreamAssembly::delivered() const
{
    return static_cast<std::uint32_t>(m_deliveredHashes.size());
}

std::uint32_t StreamAssembly::resumeOffset() const
{
    return m_deliveredHashes.empty() ? 0 : delivered() - 1;
}

bool StreamAssembly::isWhole() const
{
    return !m_fault.has_value() && m_tokenCount == delivered();
}

std::optional<StreamFault> StreamAssembly::fault() const
{
    return m_fault;
}

bool StreamAssembly::agrees(const Engine::StreamToken &token) const
{
    if (token.index < delivered()) {
        return m_deliveredHashes[token.index] == Core::stableHash(token.text);
    }
    const auto early = m_early.find(token.index);
    return early == m_early.end() || early->second == token.text;
}

}
