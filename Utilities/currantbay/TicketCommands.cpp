#include <currantbay/Commands.h>

#include <LibTicket/TicketJson.h>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace Client {

namespace {

constexpr auto WaitPollPeriod = std::chrono::milliseconds(200);
constexpr unsigned DefaultWaitSeconds = 30;
constexpr unsigned LongestWaitSeconds = 3600;
constexpr unsigned DefaultListedTickets = 20;
constexpr unsigned MostListedTickets = 500;

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
    return show(common, answer, {"number", "sequence"}, [](const nlohmann::json &json) {
        std::cout << "ticket " << json["number"] << (json.value("before", false) ? " had been accepted" : " accepted")
                  << " as sequence " << json["sequence"] << '\n';
    });
}

std::string ticketPath(std::uint64_t number)
{
    return "/operator/tickets/" + std::to_string(number);
}

ExitCode showTicket(const CommonOptions &common, std::uint64_t number)
{
    const auto answer = ApiClient(common.connection).call("GET", ticketPath(number));
    return show(common, answer, {"number", "sequence", "objects"}, [](const nlohmann::json &json) {
        std::cout << "ticket " << json["number"] << ", sequence " << json["sequence"] << ", "
                  << (json.value("inForceHere", false) ? "in force" : "not yet in force") << " at this host\n"
                  << "submitted by: " << json.value("submittedBy", "") << '\n'
                  << json["objects"].dump(2) << '\n';
    });
}

ExitCode listTickets(const CommonOptions &common, unsigned last)
{
    const auto answer = ApiClient(common.connection).call("GET", "/operator/tickets?last=" + std::to_string(last));
    return showList(common, answer,
                    std::vector<Column> {{"NUMBER", "number"},
                                         {"SEQUENCE", "sequence"},
                                         {"IN FORCE HERE", "inForceHere"},
                                         {"SUBMITTED BY", "submittedBy"}});
}

// The hosts at which a sequence isn't in force yet, "none" as an empty list; without a value the answer is bad.
std::optional<nlohmann::json> laggingHosts(const nlohmann::json &hosts, std::uint64_t sequence)
{
    if (!hosts.is_array()) {
        return std::nullopt;
    }
    auto lagging = nlohmann::json::array();
    for (const auto &host : hosts) {
        if (!host.is_object() || !host.contains("ticketSequence") || !host["ticketSequence"].is_number_unsigned()) {
            return std::nullopt;
        }
        if (host["ticketSequence"] < sequence) {
            lagging.push_back(host);
        }
    }
    return lagging;
}

ExitCode reportWait(const CommonOptions &common, std::uint64_t number, const nlohmann::json &lagging)
{
    if (common.form == OutputForm::Json) {
        std::cout << nlohmann::json {{"number", number}, {"inForce", lagging.empty()}, {"lagging", lagging}} << '\n';
    } else if (lagging.empty()) {
        std::cout << "ticket " << number << " is in force at every live host\n";
    } else {
        std::cout << "ticket " << number << " isn't in force yet at:\n";
        printTable(lagging, std::vector<Column> {{"ID", "id"}, {"ZONE", "zone"}, {"SEQUENCE", "ticketSequence"}});
    }
    return lagging.empty() ? ExitCode::Done : ExitCode::Unknown;
}

ExitCode waitForTicket(const CommonOptions &common, std::uint64_t number, unsigned seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    const auto ticket = ApiClient(common.connection).call("GET", ticketPath(number));
    if (!ticket.isSuccess()) {
        return reportFailure(ticket);
    }
    const auto json = ticket.json();
    if (!json.is_object() || !json.contains("sequence") || !json["sequence"].is_number_unsigned()) {
        return reportMalformed(ticket);
    }
    while (true) {
        const auto answer = ApiClient(common.connection).call("GET", "/operator/hosts");
        if (!answer.isSuccess()) {
            return reportFailure(answer);
        }
        const auto lagging = laggingHosts(answer.json(), json["sequence"].get<std::uint64_t>());
        if (!lagging.has_value()) {
            return reportMalformed(answer);
        }
        if (lagging->empty() || std::chrono::steady_clock::now() >= end) {
            return reportWait(common, number, *lagging);
        }
        std::this_thread::sleep_for(WaitPollPeriod);
    }
}

void addSubmit(CLI::App &ticket, const CommonOptions &common, ExitCode &exitCode)
{
    auto *submit = ticket.add_subcommand("submit", "Submit a ticket; the same one twice takes effect once");
    auto path = std::make_shared<std::string>();
    submit->add_option("file", *path, "The ticket, JSON with comments")->required();
    submit->footer("Example: currantbay ticket submit ticket-17.json");
    submit->callback([&common, &exitCode, path] {
        exitCode = submitTicket(common, *path);
    });
}

void addShow(CLI::App &ticket, const CommonOptions &common, ExitCode &exitCode)
{
    auto *command = ticket.add_subcommand("show", "Print an accepted ticket");
    auto number = std::make_shared<std::uint64_t>(0);
    command->add_option("number", *number, "The ticket's number")->required()->check(CLI::PositiveNumber);
    command->footer("Example: currantbay ticket show 17");
    command->callback([&common, &exitCode, number] {
        exitCode = showTicket(common, *number);
    });
}

void addList(CLI::App &ticket, const CommonOptions &common, ExitCode &exitCode)
{
    auto *command = ticket.add_subcommand("list", "Print the newest accepted tickets");
    auto last = std::make_shared<unsigned>(DefaultListedTickets);
    command->add_option("--last", *last, "How many")->check(CLI::Range(1U, MostListedTickets));
    command->footer("Example: currantbay ticket list --last 5");
    command->callback([&common, &exitCode, last] {
        exitCode = listTickets(common, *last);
    });
}

void addWait(CLI::App &ticket, const CommonOptions &common, ExitCode &exitCode)
{
    auto *command = ticket.add_subcommand("wait", "Wait until a ticket is in force at every live host");
    auto number = std::make_shared<std::uint64_t>(0);
    auto seconds = std::make_shared<unsigned>(DefaultWaitSeconds);
    command->add_option("number", *number, "The ticket's number")->required()->check(CLI::PositiveNumber);
    command->add_option("--timeout", *seconds, "Longest wait in seconds")->check(CLI::Range(0U, LongestWaitSeconds));
    command->footer("Prints the hosts that lag and exits with 3 when the time is over.\n"
                    "Example: currantbay ticket wait 17 --timeout 10");
    command->callback([&common, &exitCode, number, seconds] {
        exitCode = waitForTicket(common, *number, *seconds);
    });
}

}

void addTicketCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    auto *ticket = app.add_subcommand("ticket", "Numbered change tickets");
    ticket->require_subcommand(1);
    addSubmit(*ticket, common, exitCode);
    addShow(*ticket, common, exitCode);
    addList(*ticket, common, exitCode);
    addWait(*ticket, common, exitCode);
}

}
