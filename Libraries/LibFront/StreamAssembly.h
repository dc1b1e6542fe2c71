#pragma once

#include <LibEngine/EngineLink.h>
#include <cstdint>
#include <map>
#include <string>

namespace Front {

// Puts the tokens of one answer in order, whatever order and however often they arrive, and knows when the
// answer is whole. Tokens of another attempt than the current one are dropped.
class StreamAssembly
{
public:
    // Expects tokens of this attempt from now on; what has been delivered stays delivered.
    void beginAttempt(Core::AttemptId attempt);
    // Returns the text that can be delivered now, which is empty while a gap lasts.
    [[nodiscard]] std::string accept(const Engine::StreamToken &token);
    // Notes the end mark.
    void acceptEnd(const Engine::StreamEnd &end);

    // Tokens delivered so far, which is the offset to resume from.
    [[nodiscard]] std::uint32_t delivered() const;
    // True when the end mark has come and every token before it has been delivered.
    [[nodiscard]] bool isWhole() const;
    // True when the end mark contradicts the tokens that came.
    [[nodiscard]] bool isContradictory() const;

private:
    Core::AttemptId m_attempt;
    std::uint32_t m_delivered = 0;
    std::map<std::uint32_t, std::string> m_early;
    std::optional<std::uint32_t> m_tokenCount;
};

}
