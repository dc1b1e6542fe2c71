#pragma once

#include <LibCore/IdSource.h>
#include <LibTrace/TraceContext.h>
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace Trace {

// The processing of a request at one hop. A span is written when it ends; a span that never ends is never written.
struct Span {
    TraceContext context;
    std::string parentSpanId; // Empty for the first span of a trace.
    std::string name;
    std::uint64_t startNanoseconds = 0; // Since the Unix epoch.
    std::vector<std::pair<std::string, std::string>> attributes;

    void set(std::string_view attribute, std::string value);
};

struct TracerOptions {
    std::string file; // Receives OTLP JSON, one object per line; if empty, no traces are written.
    std::string host;
};

// Creates spans and writes them as lines of OTLP JSON.
class Tracer
{
public:
    Tracer(Core::IdSource &ids, TracerOptions options);

    // Starts a span as a child of the parent, or as the root of a new trace if there is no parent.
    [[nodiscard]] Span begin(std::string_view name, const std::optional<TraceContext> &parent);
    // Ends a span and writes it.
    void end(const Span &span);

private:
    // Returns 16 hexadecimal digits for each word.
    [[nodiscard]] std::string randomHexDigits(int words);

    Core::IdSource &m_ids;
    TracerOptions m_options;
    std::ofstream m_file;
};

}
