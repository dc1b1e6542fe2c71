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
    m_pendingTokens.clear();
    m_tokenCount.reset();
    m_fault.reset();
}

std::string StreamAssembly::accept(const Engine::StreamToken &token)
{
    std::string text;
    if (token.attempt != m_attempt || m_fault.has_value()) {
        return text;
    }
    if (!matchesEarlier(token)) {
        m_fault = StreamFault::TokenMismatch;
        return text;
    }
    if (token.index < deliveredCount()) {
        return text;
    }
    if (token.index >= m_options.maxTokens || token.index - deliveredCount() >= m_options.maxAhead) {
        m_fault = StreamFault::TooFarAhead;
        return text;
    }
    if (m_tokenCount.has_value() && token.index >= *m_tokenCount) {
        m_fault = StreamFault::InvalidEnd;
        return text;
    }
    m_pendingTokens.emplace(token.index, token.text);
    while (!m_pendingTokens.empty() && m_pendingTokens.begin()->first == deliveredCount()) {
        text += m_pendingTokens.begin()->second;
        m_deliveredHashes.push_back(Core::stableHash(m_pendingTokens.begin()->second));
        m_pendingTokens.erase(m_pendingTokens.begin());
    }
    return text;
}

void StreamAssembly::acceptEnd(const Engine::StreamEnd &end)
{
    if (end.attempt != m_attempt || m_fault.has_value()) {
        return;
    }
    const auto receivedCount = m_pendingTokens.empty() ? deliveredCount() : m_pendingTokens.rbegin()->first + 1;
    const bool contradictsEarlierEnd = m_tokenCount.has_value() && *m_tokenCount != end.tokenCount;
    if (end.tokenCount < receivedCount || end.tokenCount > m_options.maxTokens || contradictsEarlierEnd) {
        m_fault = StreamFault::InvalidEnd;
        return;
    }
    m_tokenCount = end.tokenCount;
}

std::uint32_t StreamAssembly::deliveredCount() const
{
    return static_cast<std::uint32_t>(m_deliveredHashes.size());
}

std::uint32_t StreamAssembly::resumeOffset() const
{
    return m_deliveredHashes.empty() ? 0 : deliveredCount() - 1;
}

bool StreamAssembly::isComplete() const
{
    return !m_fault.has_value() && m_tokenCount == deliveredCount();
}

std::optional<StreamFault> StreamAssembly::fault() const
{
    return m_fault;
}

bool StreamAssembly::matchesEarlier(const Engine::StreamToken &token) const
{
    if (token.index < deliveredCount()) {
        return m_deliveredHashes[token.index] == Core::stableHash(token.text);
    }
    const auto pending = m_pendingTokens.find(token.index);
    return pending == m_pendingTokens.end() || pending->second == token.text;
}

}
