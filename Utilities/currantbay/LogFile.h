#pragma once

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Client {

// One event that an entry host has logged.
struct LoggedEvent {
    std::string time; // As written; events of several hosts are ordered by it.
    std::string host;
    std::string name;
    nlohmann::json fields;

    // The field's text, or an empty one.
    [[nodiscard]] std::string field(const char *name) const;
};

// The events that entry hosts have logged, of all files together and in order of their time.
class LogFile
{
public:
    // Reads lines that hold an event, whatever stands before it on the line. Other lines are skipped and counted.
    void read(std::istream &lines);
    void sort();

    [[nodiscard]] const std::vector<LoggedEvent> &events() const;
    [[nodiscard]] std::size_t skippedLines() const;

private:
    std::vector<LoggedEvent> m_events;
    std::size_t m_skippedLines = 0;
};

}
