#include <currantbayd/Daemon.h>
#include <currantbayd/GatewayDaemon.h>

#include <CLI/CLI.hpp>
#include <LibLog/Log.h>
#include <LibNet/Signals.h>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

int reportValidSettings(const std::string &settingsFile)
{
    std::cout << settingsFile << ": no mistakes\n";
    return 0;
}

int runGateway(const std::string &text, const std::string &settingsFile, bool isCheckOnly)
{
    const auto settings = Settings::parseGatewaySettings(text);
    if (isCheckOnly) {
        return reportValidSettings(settingsFile);
    }
    Log::start({.host = settings.hostId, .destination = Log::Destination::StandardOutput});
    Daemon::GatewayDaemon daemon(settings, settingsFile);
    daemon.run();
    // No output is pending. With 60 hosts, closing the sockets to all other hosts one by one took longer than the
    // remaining grace period of a shutdown. The kernel closes them all at once.
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    CLI::App app("currantbayd: one entry host of currantbay");
    app.set_version_flag("--version", CURRANTBAY_VERSION);
    app.footer("Exit codes: 0 clean shutdown, 1 failure, 2 invalid settings.");
    std::string settingsFile;
    bool isCheckOnly = false;
    app.add_option("--settings", settingsFile, "Settings file, JSON with comments")->required();
    app.add_flag("--check", isCheckOnly, "Validate the settings, print every mistake, and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        if (!isCheckOnly) {
            // Before anything that takes time, and before the first thread. What a daemon doesn't watch is ignored.
            Net::recordSignals({SIGTERM, SIGINT, SIGHUP});
            Net::ignoreBrokenPipes();
        }
        const auto text = Settings::readSettingsFile(settingsFile);
        if (Settings::isGatewaySettings(text)) {
            return runGateway(text, settingsFile, isCheckOnly);
        }
        const auto settings = Settings::parseDaemonSettings(text);
        if (isCheckOnly) {
            return reportValidSettings(settingsFile);
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
