#pragma once

#include <CLI/CLI.hpp>
#include <currantbay/Output.h>

namespace Client {

// Each function adds its commands to the command line. A command that runs stores its exit code.
void addTicketCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode);
void addListCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode);
void addRequestCommand(CLI::App &app, const CommonOptions &common, ExitCode &exitCode);
void addSettingsCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode);
void addServiceCommand(CLI::App &app, const CommonOptions &common, ExitCode &exitCode);
void addAllowanceCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode);
void addWhereCommand(CLI::App &app, const CommonOptions &common, ExitCode &exitCode);
void addTraceCommands(CLI::App &app, ExitCode &exitCode);
void addLogCommands(CLI::App &app, ExitCode &exitCode);

}
