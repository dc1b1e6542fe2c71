#include <currantbay/Output.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace Client {

namespace {

std::string cellText(const nlohmann::json &row, const std::string &member)
{
    const auto found = row.find(member);
    if (found == row.end()) {
        return "";
    }
    if (found->is_array()) {
        std::string joined;
        for (const auto &item : *found) {
            joined += (joined.empty() ? "" : ",") + (item.is_string() ? item.get<std::string>() : item.dump());
        }
        return joined;
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

}

void printTable(const nlohmann::json &rows, std::span<const Column> columns)
{
    for (const auto &column : columns) {
        std::size_t width = column.heading.size();
        for (const auto &row : rows) {
            width = std::max(width, cellText(row, column.member).size());
        }
        std::cout << std::left << std::setw(static_cast<int>(width) + 2) << column.heading;
    }
    std::cout << '\n';
    for (const auto &row : rows) {
        for (const auto &column : columns) {
            std::size_t width = column.heading.size();
            for (const auto &other : rows) {
                width = std::max(width, cellText(other, column.member).size());
            }
            std::cout << std::left << std::setw(static_cast<int>(width) + 2) << cellText(row, column.member);
        }
        std::cout << '\n';
    }
}

ExitCode reportFailure(const ApiAnswer &answer)
{
    if (!answer.error.empty()) {
        std::cerr << "no complete answer: " << answer.error << '\n';
        return ExitCode::Unknown;
    }
    const auto json = answer.json();
    if (!json.is_object() || !json.contains("error")) {
        std::cerr << "answered with status " << answer.status << '\n';
        return ExitCode::Refused;
    }
    const auto &error = json["error"];
    std::cerr << error.value("code", "refused") << ": " << error.value("message", "") << '\n'
              << "outcome: " << error.value("outcome", "unknown") << '\n'
              << "what to do: " << error.value("advice", "") << '\n';
    return error.value("outcome", "unknown") == "unknown" ? ExitCode::Unknown : ExitCode::Refused;
}

}
