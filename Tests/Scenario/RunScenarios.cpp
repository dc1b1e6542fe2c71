#include <Tests/Scenario/Script.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

constexpr std::uint64_t FixedSeed = 1;

// Runs one file and prints one line about it.
bool runScenario(const std::filesystem::path &path)
{
    std::ifstream file(path);
    try {
        Scenario::Script(FixedSeed).run(file);
        std::cout << "passed  " << path.stem().string() << '\n';
        return true;
    } catch (const std::exception &error) {
        std::cout << "FAILED  " << path.stem().string() << ": " << error.what() << '\n';
        return false;
    }
}

}

// Runs scenario files, or every file of a folder, and prints a line each and a total.
int main(int argc, char **argv)
{
    CLI::App app("Runs scripted scenarios over the real decision objects on a virtual clock");
    std::vector<std::string> arguments;
    app.add_option("paths", arguments, "Scenario files or folders")->required();
    CLI11_PARSE(app, argc, argv);
    std::vector<std::filesystem::path> paths;
    for (const auto &argument : arguments) {
        if (!std::filesystem::is_directory(argument)) {
            paths.emplace_back(argument);
            continue;
        }
        for (const auto &entry : std::filesystem::directory_iterator(argument)) {
            if (entry.path().extension() == ".scenario") {
                paths.push_back(entry.path());
            }
        }
    }
    std::sort(paths.begin(), paths.end());
    int failed = 0;
    for (const auto &path : paths) {
        failed += runScenario(path) ? 0 : 1;
    }
    std::cout << paths.size() << " scenarios, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
