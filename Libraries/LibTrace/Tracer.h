#pragma once

#include <LibCore/IdSource.h>
#include <LibTrace/TraceContext.h>
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace Trace {

// One hop of a request. It is written when it is ended; one that is never ended is never written.
struct Span {
    TraceContext context;
    std::string parentSpanId; // Empty for the first span of a trace.
    std::string name;
    std::uint64_t startNanoseconds = 0; // Since the Unix epoch.
    std::vector<std::pair<std::string, std::string>> attributes;

    void set(std::string_view attribute, std::string value);
};

struct TracerOptions {
    std::string file; // OTLP JSON, one object a line; empty for no traces.
    std::string host;
};

// Makes spans and writes them as OTLP JSON lines.
class Tracer
{
public:
    Tracer(Core::IdSource &ids, TracerOptions options);

    // Begins a span under the parent, or a new trace without one.
    [[nodiscard]] Span begin(std::string_view name, const std::optional<TraceContext> &parent);
    // Ends a span and writes it.
    void end(const Span &span);

private:
    [[nodiscard]] std::string randomDigits(int words);

    Core::IdSource &m_ids;
    TracerOptions m_options;
    std::ofstream m_file;
};

}
