#pragma once

#include <LibLog/EventCatalogue.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Log {

// A named value in a log line.
struct Field {
    std::string_view name;
    std::string value;
};

enum class Destination {
    // Blocks while the reader is slow.
    StandardError,
    // Never blocks; lines that can't be written at once are dropped and counted.
    StandardOutput,
};

struct LogOptions {
    std::string host; // Included in every line.
    Severity minSeverity = Severity::Information;
    Destination destination = Destination::StandardError;
};

// Starts writing events to the destination, as one JSON object per line. Events before this call are discarded.
void start(const LogOptions &options);

// Writes an event with its fields. Severity and printed name come from the EventCatalogue.
void write(Event event, std::initializer_list<Field> fields = {});

}
