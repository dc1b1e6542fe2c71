#pragma once

#include <currantbay/ApiClient.h>
#include <currantbay/ExitCode.h>
#include <functional>
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

// Prints that a successful answer doesn't hold what it should; returns the exit code that says so.
[[nodiscard]] ExitCode reportMalformed(const ApiAnswer &answer);

// Prints a successful answer: as it is, or for people by the function, which may count on an object with the named
// members. Reports any other answer.
[[nodiscard]] ExitCode show(const CommonOptions &common, const ApiAnswer &answer,
                            std::initializer_list<const char *> members,
                            const std::function<void(const nlohmann::json &)> &print);
// The same for a list of objects, printed for people as a table.
[[nodiscard]] ExitCode showList(const CommonOptions &common, const ApiAnswer &answer, std::span<const Column> columns);

// Prints why a call failed, whether it took effect and what to do; returns the exit code that says so.
[[nodiscard]] ExitCode reportFailure(const ApiAnswer &answer);

}
