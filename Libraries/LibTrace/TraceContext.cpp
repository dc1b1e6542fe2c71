#include <LibTrace/TraceContext.h>

#include <algorithm>

namespace Trace {

namespace {

constexpr std::size_t HeaderLength = 55;
constexpr std::size_t TraceIdOffset = 3;
constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdOffset = 36;
constexpr std::size_t SpanIdLength = 16;

bool isValidId(std::string_view text)
{
    const bool isHexadecimal = std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    return isHexadecimal && text.find_first_not_of('0') != std::string_view::npos;
}

}

std::string TraceContext::toHeader() const
{
    return "00-" + traceId + "-" + spanId + "-01";
}

std::optional<TraceContext> TraceContext::fromHeader(std::string_view header)
{
    const bool isWellFormed = header.size() == HeaderLength && header.starts_with("00-")
        && header[SpanIdOffset - 1] == '-' && header[SpanIdOffset + SpanIdLength] == '-';
    if (!isWellFormed) {
        return std::nullopt;
    }
    const auto traceId = header.substr(TraceIdOffset, TraceIdLength);
    const auto spanId = header.substr(SpanIdOffset, SpanIdLength);
    if (!isValidId(traceId) || !isValidId(spanId)) {
        return std::nullopt;
    }
    return TraceContext {.traceId = std::string(traceId), .spanId = std::string(spanId)};
}

}
