#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibTrace/TraceContext.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Front {

// An authenticated and parsed request for generated text.
struct CompletionRequest {
    Core::CustomerId customer;
    std::string model; // "adapter" or "adapter@version".
    std::string prompt;
    std::uint32_t maxTokens = 0;
    Core::Duration timeout {};
    std::optional<Trace::TraceContext> traceParent;
};

}
