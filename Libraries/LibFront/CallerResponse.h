#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Front {

// Whether a request ran, as the header "Currantbay-Outcome" tells the caller.
enum class Outcome {
    NotRun,
    Completed,
    // It may have run, in part or whole.
    Unknown,
};

[[nodiscard]] std::string_view toText(Outcome outcome);

// Why a request gets no answer, whether it ran, and what its caller can do.
struct Refusal {
    unsigned status = 500; // HTTP status.
    Outcome outcome = Outcome::NotRun;
    std::string code; // Stable, for programs.
    std::string message; // For people: what happened.
    std::string suggestedAction; // For people: what to do next.
    std::int64_t retryAfterMilliseconds = 0; // Zero when a repeat won't help.
};

// Who answers a request.
struct ResponseHead {
    Core::AdapterVersion adapter;
    Core::TargetId target;
};

// Where the answer to one caller goes. Either refuse() is called, or begin(), text() any number of times, and
// then finish() or abort().
class CallerResponse
{
public:
    virtual ~CallerResponse() = default;
    virtual void refuse(const Refusal &refusal) = 0;
    virtual void begin(const ResponseHead &head) = 0;
    virtual void text(std::string_view piece) = 0;
    // The answer is whole.
    virtual void finish(std::uint32_t tokenCount) = 0;
    // The answer can't be completed; the caller must be able to see that it is cut.
    virtual void abort(const Refusal &reason) = 0;
};

}
