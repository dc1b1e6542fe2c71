#include <currantbay/Commands.h>

#include <LibTicket/TicketJson.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Client {

namespace {

ExitCode submitTicket(const CommonOptions &common, const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be opened\n";
        return ExitCode::BadInput;
    }
    std::ostringstream text;
    text << file.rdbuf();
    nlohmann::json ticket;
    try {
        ticket = Ticket::toJson(Ticket::ticketFromJson(nlohmann::json::parse(text.str(), nullptr, true, true)));
    } catch (const std::exception &error) {
        std::cerr << path << ":\n" << error.what() << '\n';
        return ExitCode::BadInput;
    }
    const auto answer = ApiClient(common.connection).call("POST", "/operator/tickets", ticket.dump());
    if (!answer.isSuccess()) {
        return reportFailure(answer);
    }
    if (common.form == OutputForm::Json) {
        std::cout << answer.body << '\n';
        return ExitCode::Done;
    }
    const auto json = answer.json();
    std::cout << "ticket " << ticket["number"] << (json.value("before", false) ? " had been accepted" : " accepted")
              << " as sequence " << json["sequence"] << '\n';
    return ExitCode::Done;
}

}

void addTicketCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    auto *ticket = app.add_subcommand("ticket", "Numbered change tickets");
    ticket->require_subcommand(1);
    auto *submit = ticket->add_subcommand("submit", "Submit a ticket; the same one twice takes effect once");
    auto path = std::make_shared<std::string>();
    submit->add_option("file", *path, "The ticket, JSON with comments")->required();
    submit->callback([&common, &exitCode, path] {
        exitCode = submitTicket(common, *path);
    });
}

}
