#pragma once

#include <LibLog/EventCatalogue.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Log {

// One named value of an event.
struct Field {
    std::string_view name;
    std::string value;
};

enum class Destination {
    // Waits for a reader that is slow.
    StandardError,
    // Never waits; lines that don't fit are left out and counted.
    StandardOutput,
};

struct LogOptions {
    std::string host; // Stands in every line.
    Severity least = Severity::Information;
    Destination destination = Destination::StandardError;
};

// Sends events to the destination from now on, one JSON object a line. Until this is called nothing is written.
void start(const LogOptions &options);

// Writes one event with its fields.
void write(Event event, std::initializer_list<Field> fields = {});

}
