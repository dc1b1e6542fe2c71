#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibTrace/TraceContext.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Front {

// A caller's request for generated text, after it has been authenticated and parsed.
struct CompletionRequest {
    Core::CustomerId customer;
    std::string model; // "adapter" or "adapter@version".
    std::string prompt;
    std::uint32_t maxTokens = 0;
    Core::Duration timeout {};
    std::optional<Trace::TraceContext> traceParent;
};

}
