#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Trace {

// Identifies a span within a trace, as the W3C header "traceparent" does.
struct TraceContext {
    std::string traceId; // 32 lower-case hexadecimal digits.
    std::string spanId; // 16 lower-case hexadecimal digits.

    // Returns "00-<trace id>-<span id>-01": version 00 with the sampled flag set.
    [[nodiscard]] std::string toHeader() const;
    // Returns no value when the header is malformed or one of its ids is zero, which the standard makes invalid.
    [[nodiscard]] static std::optional<TraceContext> fromHeader(std::string_view header);
};

}
