#include <currantbay/TraceTree.h>

#include <algorithm>
#include <iomanip>

namespace Client {

namespace {

constexpr int NameWidth = 32;
constexpr int IndentWidth = 2;
constexpr double NanosecondsPerMillisecond = 1e6;

double toMilliseconds(std::uint64_t nanoseconds)
{
    return static_cast<double>(nanoseconds) / NanosecondsPerMillisecond;
}

std::string attributeOf(const nlohmann::json &attributes, std::string_view key)
{
    for (const auto &attribute : attributes) {
        if (attribute.at("key") == key) {
            return attribute.at("value").at("stringValue").get<std::string>();
        }
    }
    return "";
}

}

void TraceTree::read(std::istream &lines)
{
    for (std::string line; std::getline(lines, line);) {
        try {
            const auto json = nlohmann::json::parse(line);
            for (const auto &resource : json.at("resourceSpans")) {
                const auto host = attributeOf(resource.at("resource").at("attributes"), "host.name");
                for (const auto &scope : resource.at("scopeSpans")) {
                    for (const auto &span : scope.at("spans")) {
                        readSpan(span, host);
                    }
                }
            }
        } catch (const std::exception &) {
            ++m_skippedLines;
        }
    }
}

void TraceTree::readSpan(const nlohmann::json &json, const std::string &host)
{
    ReadSpan span {.traceId = json.at("traceId").get<std::string>(),
                   .spanId = json.at("spanId").get<std::string>(),
                   .parentSpanId = json.at("parentSpanId").get<std::string>(),
                   .name = json.at("name").get<std::string>(),
                   .host = host,
                   .startNanoseconds = std::stoull(json.at("startTimeUnixNano").get<std::string>()),
                   .endNanoseconds = std::stoull(json.at("endTimeUnixNano").get<std::string>())};
    for (const auto &attribute : json.at("attributes")) {
        span.attributes.emplace_back(attribute.at("key").get<std::string>(),
                                     attribute.at("value").at("stringValue").get<std::string>());
    }
    auto &spans = m_traces[span.traceId];
    const auto later = std::upper_bound(spans.begin(), spans.end(), span, [](const auto &left, const auto &right) {
        return left.startNanoseconds < right.startNanoseconds;
    });
    spans.insert(later, std::move(span));
}

std::size_t TraceTree::skippedLines() const
{
    return m_skippedLines;
}

std::vector<std::string> TraceTree::traceIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, spans] : m_traces) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end(), [this](const auto &left, const auto &right) {
        return firstSpan(left)->startNanoseconds < firstSpan(right)->startNanoseconds;
    });
    return ids;
}

const ReadSpan *TraceTree::firstSpan(const std::string &traceId) const
{
    const auto found = m_traces.find(traceId);
    return found == m_traces.end() ? nullptr : &found->second.front();
}

void TraceTree::draw(const std::string &traceId, std::ostream &output) const
{
    const auto found = m_traces.find(traceId);
    if (found == m_traces.end()) {
        return;
    }
    const auto &spans = found->second;
    output << "trace " << traceId << '\n';
    std::vector<const ReadSpan *> pointers;
    for (const auto &span : spans) {
        pointers.push_back(&span);
    }
    const auto begin = spans.front().startNanoseconds;
    for (const auto &span : spans) {
        const bool isParentRead = std::any_of(spans.begin(), spans.end(), [&](const auto &other) {
            return other.spanId == span.parentSpanId;
        });
        if (!isParentRead) {
            drawChildren({&span}, span.parentSpanId, begin, 0, output);
            drawChildren(pointers, span.spanId, begin, 1, output);
        }
    }
}

void TraceTree::drawChildren(const std::vector<const ReadSpan *> &spans, const std::string &parent, std::uint64_t begin,
                             int depth, std::ostream &output) const
{
    for (const auto *span : spans) {
        if (span->parentSpanId != parent) {
            continue;
        }
        const auto indent = depth * IndentWidth;
        output << std::string(static_cast<std::size_t>(indent), ' ') << std::left
               << std::setw(std::max(1, NameWidth - indent)) << span->name << std::right << std::fixed
               << std::setprecision(3) << std::setw(10) << toMilliseconds(span->startNanoseconds - begin) << " +"
               << std::setw(9) << toMilliseconds(span->endNanoseconds - span->startNanoseconds) << " ms  "
               << span->host;
        for (const auto &[key, value] : span->attributes) {
            output << "  " << key << '=' << value;
        }
        output << '\n';
        if (depth > 0) {
            drawChildren(spans, span->spanId, begin, depth + 1, output);
        }
    }
}

}
