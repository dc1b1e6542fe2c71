#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace Client {

// One span as it was read from an OTLP JSON line.
struct ReadSpan {
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    std::string name;
    std::string host;
    std::uint64_t startNanoseconds = 0;
    std::uint64_t endNanoseconds = 0;
    std::vector<std::pair<std::string, std::string>> attributes;
};

// Spans of several hosts, put together by trace.
class TraceTree
{
public:
    // Reads OTLP JSON lines. A line that can't be read is skipped and counted; a host that was killed while it
    // wrote leaves one.
    void read(std::istream &lines);

    [[nodiscard]] std::size_t skippedLines() const;
    // The traces in order of their first span.
    [[nodiscard]] std::vector<std::string> traceIds() const;
    // The first span of a trace, or null.
    [[nodiscard]] const ReadSpan *firstSpan(const std::string &traceId) const;
    // Draws one trace: each span under its parent, with its start and duration in milliseconds. Spans whose
    // parent wasn't read stand at the top.
    void draw(const std::string &traceId, std::ostream &output) const;

private:
    void readSpan(const nlohmann::json &json, const std::string &host);
    void drawChildren(const std::vector<const ReadSpan *> &spans, const std::string &parent, std::uint64_t begin,
                      int depth, std::ostream &output) const;

    std::size_t m_skippedLines = 0;
    std::map<std::string, std::vector<ReadSpan>> m_traces;
};

}
