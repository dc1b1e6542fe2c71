#include <LibTrace/Tracer.h>

#include <LibCore/StepError.h>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Trace {

namespace {

constexpr int SpanKindServer = 2;

std::uint64_t wallClockNanoseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

nlohmann::json attribute(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

}

void Span::set(std::string_view attribute, std::string value)
{
    attributes.emplace_back(std::string(attribute), std::move(value));
}

Tracer::Tracer(Core::IdSource &ids, TracerOptions options)
    : m_ids(ids)
    , m_options(std::move(options))
{
    if (m_options.file.empty()) {
        return;
    }
    m_file.open(m_options.file, std::ios::app);
    if (!m_file) {
        throw Core::StepError("open trace file", m_options.file, "can't be opened for writing");
    }
}

Span Tracer::begin(std::string_view name, const std::optional<TraceContext> &parent)
{
    Span span {.name = std::string(name), .startNanoseconds = wallClockNanoseconds()};
    span.context.traceId = parent.has_value() ? parent->traceId : randomHexDigits(2);
    span.context.spanId = randomHexDigits(1);
    span.parentSpanId = parent.has_value() ? parent->spanId : "";
    return span;
}

void Tracer::end(const Span &span)
{
    if (!m_file.is_open()) {
        return;
    }
    auto attributes = nlohmann::json::array();
    for (const auto &[key, value] : span.attributes) {
        attributes.push_back(attribute(key, value));
    }
    const nlohmann::json spanJson {{"traceId", span.context.traceId},
                                   {"spanId", span.context.spanId},
                                   {"parentSpanId", span.parentSpanId},
                                   {"name", span.name},
                                   {"kind", SpanKindServer},
                                   {"startTimeUnixNano", std::to_string(span.startNanoseconds)},
                                   {"endTimeUnixNano", std::to_string(wallClockNanoseconds())},
                                   {"attributes", std::move(attributes)}};
    const nlohmann::json resource {
        {"attributes", {attribute("service.name", "currantbay"), attribute("host.name", m_options.host)}}};
    const nlohmann::json scope {{"scope", {{"name", "currantbay"}}}, {"spans", {spanJson}}};
    const nlohmann::json line {{"resourceSpans", {{{"resource", resource}, {"scopeSpans", {scope}}}}}};
    m_file << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n' << std::flush;
}

std::string Tracer::randomHexDigits(int words)
{
    std::string digits;
    for (int i = 0; i < words; ++i) {
        char text[17];
        // An id of zero is invalid, so the lowest bit is always set.
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_ids.randomNumber() | 1U));
        digits += text;
    }
    return digits;
}

}
