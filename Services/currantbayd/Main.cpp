#include <currantbayd/Daemon.h>
#include <currantbayd/GatewayDaemon.h>

#include <CLI/CLI.hpp>
#include <LibLog/Log.h>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

int reportNoMistakes(const std::string &settingsFile)
{
    std::cout << settingsFile << ": no mistakes\n";
    return 0;
}

int runGateway(const std::string &text, const std::string &settingsFile, bool isCheckOnly)
{
    const auto settings = Settings::parseGatewaySettings(text);
    if (isCheckOnly) {
        return reportNoMistakes(settingsFile);
    }
    Log::start({.host = settings.hostId, .destination = Log::Destination::StandardOutput});
    Daemon::GatewayDaemon daemon(settings, settingsFile);
    daemon.run();
    // Nothing is left to write. Closing the sockets to every other host one by one took longer than the rest of a
    // planned stop's grace period with 60 hosts; the kernel closes them at once.
    std::_Exit(0);
}

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
        const auto text = Settings::readSettingsFile(settingsFile);
        if (Settings::isGatewaySettings(text)) {
            return runGateway(text, settingsFile, isCheckOnly);
        }
        const auto settings = Settings::parseDaemonSettings(text);
        if (isCheckOnly) {
            return reportNoMistakes(settingsFile);
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
