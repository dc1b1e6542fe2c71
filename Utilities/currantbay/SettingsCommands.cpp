#include <currantbay/Commands.h>

#include <LibSettings/DaemonSettings.h>
#include <iostream>

namespace Client {

namespace {

ExitCode checkSettings(const CommonOptions &common, const std::string &path)
{
    try {
        (void)Settings::loadDaemonSettings(path);
    } catch (const std::exception &error) {
        if (common.form == OutputForm::Json) {
            std::cout << nlohmann::json {{"file", path}, {"isUsable", false}, {"mistakes", error.what()}} << '\n';
        } else {
            std::cerr << path << ":\n" << error.what() << '\n';
        }
        return ExitCode::BadInput;
    }
    if (common.form == OutputForm::Json) {
        std::cout << nlohmann::json {{"file", path}, {"isUsable", true}, {"mistakes", ""}} << '\n';
    } else {
        std::cout << path << ": no mistakes\n";
    }
    return ExitCode::Done;
}

}

void addSettingsCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    auto *settings = app.add_subcommand("settings", "Settings files of entry hosts");
    settings->require_subcommand(1);
    auto *check = settings->add_subcommand("check", "Print every mistake in a settings file");
    auto path = std::make_shared<std::string>();
    check->add_option("file", *path, "The settings file")->required();
    check->callback([&common, &exitCode, path] {
        exitCode = checkSettings(common, *path);
    });
}

}
