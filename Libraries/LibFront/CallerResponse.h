#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Front {

// Whether a request ran. The caller sees it in the header "Currantbay-Outcome".
enum class Outcome {
    NotRun,
    Completed,
    // The request may have run, partly or completely.
    Unknown,
};

[[nodiscard]] std::string_view toText(Outcome outcome);

// An error response: why the request has no result, whether it ran, and what its caller can do.
struct Refusal {
    unsigned status = 500; // HTTP status.
    Outcome outcome = Outcome::NotRun;
    std::string code; // Stable and machine-readable.
    std::string message; // Human-readable description of the error.
    std::string suggestedAction; // Human-readable; what the caller should do next.
    std::int64_t retryAfterMilliseconds = 0; // Zero if a retry won't help.
};

// The adapter version and the target that generate a response.
struct ResponseHead {
    Core::AdapterVersion adapter;
    Core::TargetId target;
};

// The response to one caller (the program that sent the request). Either refuse() is called, or begin(), then text()
// any number of times, and then finish() or abort().
class CallerResponse
{
public:
    virtual ~CallerResponse() = default;
    virtual void refuse(const Refusal &refusal) = 0;
    virtual void begin(const ResponseHead &head) = 0;
    virtual void text(std::string_view piece) = 0;
    // Ends a complete response.
    virtual void finish(std::uint32_t tokenCount) = 0;
    // Ends a response that can't be completed. The caller must be able to detect that it is incomplete.
    virtual void abort(const Refusal &reason) = 0;
};

}
