#include <currantbay/Commands.h>

#include <iostream>

// The operators' command line.
int main(int argc, char **argv)
{
    CLI::App app("currantbay: operate and try a currantbay system");
    app.set_version_flag("--version", CURRANTBAY_VERSION);
    app.footer("Examples:\n"
               "  currantbay ticket submit ticket-17.json && currantbay ticket wait 17\n"
               "  currantbay adapter show outline-sohar\n"
               "  currantbay host list --json\n"
               "  currantbay allowance show acme --address 10.0.0.5:9464\n"
               "Exit codes: 0 done; 1 refused, nothing was changed or run; 2 bad command line, file or settings;\n"
               "3 no answer, or it isn't known whether it took effect.\n"
               "The address and token can also be given by CURRANTBAY_ADDRESS and CURRANTBAY_TOKEN.");
    app.require_subcommand(1);
    app.fallthrough();
    Client::CommonOptions common;
    auto exitCode = Client::ExitCode::Done;
    app.add_option("--address", common.connection.address, "An entry host's \"address:port\"")
        ->envname("CURRANTBAY_ADDRESS");
    app.add_option("--token", common.connection.token, "Your token")->envname("CURRANTBAY_TOKEN");
    app.add_flag_callback(
        "--json",
        [&common] {
            common.form = Client::OutputForm::Json;
        },
        "Print JSON");
    // Commands run in the order of the command line, so options given after them are read first.
    Client::addTicketCommands(app, common, exitCode);
    Client::addListCommands(app, common, exitCode);
    Client::addRequestCommand(app, common, exitCode);
    Client::addServiceCommand(app, common, exitCode);
    Client::addSettingsCommands(app, common, exitCode);
    Client::addAllowanceCommands(app, common, exitCode);
    Client::addWhereCommand(app, common, exitCode);
    Client::addTraceCommands(app, exitCode);
    Client::addLogCommands(app, exitCode);
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success &success) {
        return app.exit(success);
    } catch (const CLI::ParseError &error) {
        app.exit(error);
        return static_cast<int>(Client::ExitCode::BadInput);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return static_cast<int>(Client::ExitCode::Unknown);
    }
    return static_cast<int>(exitCode);
}
