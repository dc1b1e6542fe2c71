#include <currantbay/Commands.h>

#include <LibSettings/DaemonSettings.h>
#include <iostream>

namespace Client {

namespace {

ExitCode checkSettings(const std::string &path)
{
    try {
        (void)Settings::loadDaemonSettings(path);
    } catch (const std::exception &error) {
        std::cerr << path << ":\n" << error.what() << '\n';
        return ExitCode::BadInput;
    }
    std::cout << path << ": no mistakes\n";
    return ExitCode::Done;
}

}

void addSettingsCommands(CLI::App &app, ExitCode &exitCode)
{
    auto *settings = app.add_subcommand("settings", "Settings files of entry hosts");
    settings->require_subcommand(1);
    auto *check = settings->add_subcommand("check", "Print every mistake in a settings file");
    auto path = std::make_shared<std::string>();
    check->add_option("file", *path, "The settings file")->required();
    check->callback([&exitCode, path] {
        exitCode = checkSettings(*path);
    });
}

}
