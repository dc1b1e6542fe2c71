#pragma once

#include <LibEngine/EngineLink.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Front {

struct StreamAssemblyOptions {
    std::uint32_t mostTokens = 1U << 20U; // Tokens of the whole answer.
    std::uint32_t mostAhead = 256; // How far beyond the delivered tokens an index may be.
};

// Why the tokens of a stream can't be used.
enum class StreamFault {
    // An index far beyond the delivered ones, or beyond the longest answer that was asked for.
    TooFarAhead,
    // A token differs from what came before at its index.
    Disagreement,
    // The end mark contradicts the tokens or an earlier end mark.
    WrongEnd,
};

// Puts the tokens of one answer in order, whatever order and however often they arrive, and knows when the
// answer is whole. Tokens of another attempt than the current one are dropped. What arrives again must agree
// with what came before. It keeps a hash of each delivered token and at most mostAhead early ones.
class StreamAssembly
{
public:
    explicit StreamAssembly(StreamAssemblyOptions options = {});

    // Expects tokens of this attempt from now on; what has been delivered stays delivered.
    void beginAttempt(Core::AttemptId attempt);
    // Returns the text that can be delivered now, which is empty while a gap lasts and after a fault.
    [[nodiscard]] std::string accept(const Engine::StreamToken &token);
    // Notes the end mark.
    void acceptEnd(const Engine::StreamEnd &end);

    // Tokens delivered so far.
    [[nodiscard]] std::uint32_t delivered() const;
    // The offset to resume from: the last delivered token comes again, to be compared.
    [[nodiscard]] std::uint32_t resumeOffset() const;
    // True when the end mark has come and every token before it has been delivered.
    [[nodiscard]] bool isWhole() const;
    // The first fault of the current attempt.
    [[nodiscard]] std::optional<StreamFault> fault() const;

private:
    [[nodiscard]] bool agrees(const Engine::StreamToken &token) const;

    StreamAssemblyOptions m_options;
    Core::AttemptId m_attempt;
    std::vector<std::uint64_t> m_deliveredHashes;
    std::map<std::uint32_t, std::string> m_early;
    std::optional<std::uint32_t> m_tokenCount;
    std::optional<StreamFault> m_fault;
};

}
