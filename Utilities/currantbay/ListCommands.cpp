#include <currantbay/Commands.h>

#include <iostream>

namespace Client {

namespace {

// One command that prints a list.
struct ListCommand {
    const char *noun;
    const char *description;
    const char *path;
    std::vector<Column> columns;
};

const std::vector<ListCommand> &listCommands()
{
    static const std::vector<ListCommand> commands {
        {"adapter",
         "Adapters as the tickets in force have them",
         "/operator/adapters",
         {{"NAME", "name"},
          {"BASE MODEL", "baseModel"},
          {"CURRENT", "currentVersion"},
          {"VERSIONS", "versions"},
          {"RETIRED", "retired"},
          {"TICKET", "ticket"}}},
        {"target",
         "Targets, their state and their owner",
         "/operator/targets",
         {{"NAME", "name"}, {"ZONE", "zone"}, {"ROLE", "role"}, {"STATE", "state"}, {"OWNER", "owner"}}},
        {"host",
         "Entry hosts and the last ticket in force at each",
         "/operator/hosts",
         {{"ID", "id"},
          {"ZONE", "zone"},
          {"CALLERS", "callers"},
          {"TICKET SEQUENCE", "ticketSequence"},
          {"LEAVING", "leaving"}}},
    };
    return commands;
}

ExitCode list(const CommonOptions &common, const ListCommand &command)
{
    const auto answer = ApiClient(common.connection).call("GET", command.path);
    if (!answer.isSuccess()) {
        return reportFailure(answer);
    }
    if (common.form == OutputForm::Json) {
        std::cout << answer.body << '\n';
    } else {
        printTable(answer.json(), command.columns);
    }
    return ExitCode::Done;
}

}

void addListCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    for (const auto &command : listCommands()) {
        auto *noun = app.add_subcommand(command.noun, command.description);
        noun->require_subcommand(1);
        noun->add_subcommand("list", "Print them all")->callback([&common, &command, &exitCode] {
            exitCode = list(common, command);
        });
    }
}

}
