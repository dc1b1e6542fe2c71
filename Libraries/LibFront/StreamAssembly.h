#pragma once

#include <LibEngine/EngineLink.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Front {

struct StreamAssemblyOptions {
    std::uint32_t maxTokens = 1U << 20U; // Tokens of the complete response.
    std::uint32_t maxAhead = 256; // How far beyond the delivered tokens an index may be.
};

// Why the tokens of a stream can't be used.
enum class StreamFault {
    // An index is too far beyond the delivered tokens, or beyond the requested maximum length.
    TooFarAhead,
    // A token differs from an earlier one with the same index.
    TokenMismatch,
    // The end marker contradicts the tokens or an earlier end marker.
    InvalidEnd,
};

// Reassembles the token stream of one response from tokens that may arrive out of order and more than once, and
// detects when the response is complete. Tokens of any other than the current attempt are dropped. A token that
// arrives again must equal the earlier one. Memory is bounded by a hash per delivered token and at most maxAhead
// pending tokens.
class StreamAssembly
{
public:
    explicit StreamAssembly(StreamAssemblyOptions options = {});

    // Accepts only tokens of this attempt from now on. Delivered tokens are kept.
    void beginAttempt(Core::AttemptId attempt);
    // Returns the text that can be delivered now. It is empty while an earlier token is missing and after a fault.
    [[nodiscard]] std::string accept(const Engine::StreamToken &token);
    void acceptEnd(const Engine::StreamEnd &end);

    [[nodiscard]] std::uint32_t deliveredCount() const;
    // The offset to resume from. It includes the last delivered token, so that the new stream can be compared with it.
    [[nodiscard]] std::uint32_t resumeOffset() const;
    // True if the end marker has arrived and all tokens before it have been delivered.
    [[nodiscard]] bool isComplete() const;
    // The first fault of the current attempt.
    [[nodiscard]] std::optional<StreamFault> fault() const;

private:
    [[nodiscard]] bool matchesEarlier(const Engine::StreamToken &token) const;

    StreamAssemblyOptions m_options;
    Core::AttemptId m_attempt;
    std::vector<std::uint64_t> m_deliveredHashes;
    std::map<std::uint32_t, std::string> m_pendingTokens; // By index; they arrived before an earlier token.
    std::optional<std::uint32_t> m_tokenCount; // Known once the end marker has arrived.
    std::optional<StreamFault> m_fault;
};

}
