#include <currantbay/Commands.h>

#include <LibNet/PercentEncoding.h>
#include <iostream>

namespace Client {

namespace {

// One command that prints a list.
struct ListCommand {
    const char *noun;
    const char *description;
    const char *path;
    std::vector<Column> columns;
    bool hasShow = false; // Whether a path below gives one of the list.
    const char *example = "";
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
          {"TICKET", "ticket"}},
         true,
         "outline-sohar"},
        {"target",
         "Targets, their state and their owner",
         "/operator/targets",
         {{"NAME", "name"}, {"ZONE", "zone"}, {"ROLE", "role"}, {"STATE", "state"}, {"OWNER", "owner"}},
         true,
         "engine-1"},
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
    return showList(common, ApiClient(common.connection).call("GET", command.path), command.columns);
}

ExitCode showOne(const CommonOptions &common, const ListCommand &command, const std::string &name)
{
    const auto answer
        = ApiClient(common.connection).call("GET", std::string(command.path) + "/" + Net::percentEncode(name));
    return show(common, answer, {"name"}, [](const nlohmann::json &json) {
        for (const auto &[member, value] : json.items()) {
            std::cout << member << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
        }
    });
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
        if (command.hasShow) {
            auto name = std::make_shared<std::string>();
            auto *one = noun->add_subcommand("show", "Print one");
            one->add_option("name", *name, "Its name")->required();
            one->footer(std::string("Example: currantbay ") + command.noun + " show " + command.example);
            one->callback([&common, &command, &exitCode, name] {
                exitCode = showOne(common, command, *name);
            });
        }
    }
}

}
