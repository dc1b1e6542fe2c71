#include <currantbayd/Daemon.h>

#include <CLI/CLI.hpp>
#include <LibLog/Log.h>
#include <iostream>

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

}

// Runs one entry host.
int main(int argc, char **argv)
{
    CLI::App app("currantbayd: one entry host of currantbay");
    app.set_version_flag("--version", CURRANTBAY_VERSION);
    app.footer("Exit codes: 0 stopped as asked, 1 failed, 2 settings that can't be used.");
    std::string settingsFile;
    bool isCheckOnly = false;
    app.add_option("--settings", settingsFile, "Settings file, JSON with comments")->required();
    app.add_flag("--check", isCheckOnly, "Check the settings, print every mistake, and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        const auto settings = Settings::loadDaemonSettings(settingsFile);
        if (isCheckOnly) {
            std::cout << settingsFile << ": no mistakes\n";
            return 0;
        }
        Log::start({.host = settings.hostId});
        Daemon::Daemon(settings).run();
    } catch (const Settings::InvalidSettings &error) {
        std::cerr << settingsFile << ":\n" << error.what() << '\n';
        return ExitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return ExitFailed;
    }
    return 0;
}
