#include <currantbay/LogFile.h>

#include <algorithm>

namespace Client {

std::string LoggedEvent::field(const char *name) const
{
    const auto found = fields.find(name);
    return found == fields.end() || !found->is_string() ? std::string() : found->get<std::string>();
}

void LogFile::read(std::istream &lines)
{
    for (std::string line; std::getline(lines, line);) {
        const auto start = line.find('{');
        auto json
            = start == std::string::npos ? nlohmann::json() : nlohmann::json::parse(line.substr(start), nullptr, false);
        if (!json.is_object() || !json.contains("event") || !json.contains("name") || !json["name"].is_string()) {
            ++m_skippedLines;
            continue;
        }
        LoggedEvent event {.name = json["name"].get<std::string>()};
        event.fields = std::move(json);
        event.time = event.field("time");
        event.host = event.field("host");
        m_events.push_back(std::move(event));
    }
}

void LogFile::sort()
{
    std::stable_sort(m_events.begin(), m_events.end(), [](const auto &left, const auto &right) {
        return left.time < right.time;
    });
}

const std::vector<LoggedEvent> &LogFile::events() const
{
    return m_events;
}

std::size_t LogFile::skippedLines() const
{
    return m_skippedLines;
}

}
