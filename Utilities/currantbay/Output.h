#pragma once

#include <currantbay/ApiClient.h>
#include <currantbay/ExitCode.h>
#include <span>
#include <string>
#include <vector>

namespace Client {

enum class OutputForm { People, Json };

// Options that every command takes.
struct CommonOptions {
    Connection connection;
    OutputForm form = OutputForm::People;
};

// One column of a table: its heading and the member of each row that it shows.
struct Column {
    std::string heading;
    std::string member;
};

// Prints a list of JSON objects as a table with aligned columns.
void printTable(const nlohmann::json &rows, std::span<const Column> columns);

// Prints why a call failed, whether it took effect and what to do; returns the exit code that says so.
[[nodiscard]] ExitCode reportFailure(const ApiAnswer &answer);

}
