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
    std::vector<int> widths;
    for (const auto &column : columns) {
        std::size_t width = column.heading.size();
        for (const auto &row : rows) {
            width = std::max(width, cellText(row, column.member).size());
        }
        widths.push_back(static_cast<int>(width) + 2);
        std::cout << std::left << std::setw(widths.back()) << column.heading;
    }
    std::cout << '\n';
    for (const auto &row : rows) {
        auto width = widths.begin();
        for (const auto &column : columns) {
            std::cout << std::left << std::setw(*width++) << cellText(row, column.member);
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
    // The interface of a gateway gives the reason as text.
    if (json.is_object() && json.contains("error") && json["error"].is_string()) {
        std::cerr << "refused with status " << answer.status << ": " << json["error"].get<std::string>() << '\n';
        return ExitCode::Refused;
    }
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) {
        std::cerr << "answered with status " << answer.status << '\n';
        return ExitCode::Refused;
    }
    const auto textOf = [&json](const char *member, const char *fallback) {
        const auto &error = json["error"];
        return error.contains(member) && error[member].is_string() ? error[member].get<std::string>() : fallback;
    };
    std::cerr << textOf("code", "refused") << ": " << textOf("message", "") << '\n'
              << "outcome: " << textOf("outcome", "unknown") << '\n'
              << "what to do: " << textOf("advice", "") << '\n';
    return textOf("outcome", "unknown") == "unknown" ? ExitCode::Unknown : ExitCode::Refused;
}

ExitCode reportMalformed(const ApiAnswer &answer)
{
    std::cerr << "answered with status " << answer.status << " and a body that can't be read\n";
    return ExitCode::Unknown;
}

ExitCode show(const CommonOptions &common, const ApiAnswer &answer, std::initializer_list<const char *> members,
              const std::function<void(const nlohmann::json &)> &print)
{
    if (!answer.isSuccess()) {
        return reportFailure(answer);
    }
    const auto json = answer.json();
    const bool isWhole = json.is_object() && std::all_of(members.begin(), members.end(), [&](const char *member) {
                             return json.contains(member);
                         });
    if (!isWhole) {
        return reportMalformed(answer);
    }
    if (common.form == OutputForm::Json) {
        std::cout << answer.body << '\n';
    } else {
        print(json);
    }
    return ExitCode::Done;
}

ExitCode showList(const CommonOptions &common, const ApiAnswer &answer, std::span<const Column> columns)
{
    if (!answer.isSuccess()) {
        return reportFailure(answer);
    }
    const auto json = answer.json();
    const bool isWhole = json.is_array() && std::all_of(json.begin(), json.end(), [](const auto &row) {
                             return row.is_object();
                         });
    if (!isWhole) {
        return reportMalformed(answer);
    }
    if (common.form == OutputForm::Json) {
        std::cout << answer.body << '\n';
    } else {
        printTable(json, columns);
    }
    return ExitCode::Done;
}

}
