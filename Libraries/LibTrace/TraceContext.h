#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Trace {

// A place in a trace, as the W3C header "traceparent" carries it.
struct TraceContext {
    std::string traceId; // 32 lower-case hexadecimal digits.
    std::string spanId; // 16 lower-case hexadecimal digits.

    // "00-<trace id>-<span id>-01".
    [[nodiscard]] std::string toHeader() const;
    // Without a value when the header is malformed or names no trace.
    [[nodiscard]] static std::optional<TraceContext> fromHeader(std::string_view header);
};

}
