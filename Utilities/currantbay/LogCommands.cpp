#include <currantbay/Commands.h>
#include <currantbay/LogFile.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>

namespace Client {

namespace {

// Fields that every line has, and that aren't repeated in an account.
const std::set<std::string> CommonFields {"time", "level", "event", "name", "host"};
// Events around a request that show what the hosts believed about its replicas.
const std::set<std::string> ContextEvents {"replica-seen", "replica-gone",     "hold-gained",
                                           "hold-lost",    "target-restarted", "adapter-unavailable",
                                           "order-sent",   "order-unanswered"};

// Reads every file; returns false after saying which can't be opened.
bool readFiles(const std::vector<std::string> &paths, LogFile &log)
{
    for (const auto &path : paths) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << path << ": can't be opened\n";
            return false;
        }
        log.read(file);
    }
    log.sort();
    if (log.skippedLines() > 0) {
        std::cerr << log.skippedLines() << " lines hold no event and were skipped\n";
    }
    return true;
}

void print(const LoggedEvent &event)
{
    std::cout << event.time << "  " << std::left << std::setw(18) << event.host << ' ' << std::setw(20) << event.name;
    for (const auto &[name, value] : event.fields.items()) {
        if (!CommonFields.contains(name)) {
            std::cout << ' ' << name << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    std::cout << '\n';
}

// Whether the event tells something about one of the replicas, and about the adapter where it names one.
bool isContext(const LoggedEvent &event, const std::set<std::string> &replicas, const std::string &adapter)
{
    if (!ContextEvents.contains(event.name) || !replicas.contains(event.field("replica"))) {
        return false;
    }
    const auto subject = event.field("order") + event.field("adapter");
    return subject.empty() || adapter.empty() || subject.find('/' + adapter) != std::string::npos;
}

ExitCode explain(const std::vector<std::string> &paths, const std::string &id)
{
    LogFile log;
    if (!readFiles(paths, log)) {
        return ExitCode::BadInput;
    }
    std::set<std::string> replicas;
    std::string adapter;
    std::string lastTime;
    for (const auto &event : log.events()) {
        if (event.field("request") == id) {
            replicas.insert(event.field("replica"));
            adapter = event.field("adapter").empty() ? adapter : event.field("adapter");
            lastTime = event.time;
        }
    }
    replicas.erase("");
    if (lastTime.empty()) {
        std::cerr << "the files hold nothing about request " << id << '\n';
        return ExitCode::BadInput;
    }
    for (const auto &event : log.events()) {
        if (event.time <= lastTime && (event.field("request") == id || isContext(event, replicas, adapter))) {
            print(event);
        }
    }
    return ExitCode::Done;
}

ExitCode account(const std::vector<std::string> &paths)
{
    LogFile log;
    if (!readFiles(paths, log)) {
        return ExitCode::BadInput;
    }
    std::map<std::pair<std::string, std::string>, std::size_t> counts;
    std::size_t total = 0;
    for (const auto &event : log.events()) {
        if (event.name == "request-ended") {
            ++counts[{event.field("status"), event.field("reason")}];
            ++total;
        }
    }
    std::vector<std::pair<std::size_t, std::pair<std::string, std::string>>> rows;
    for (const auto &[outcome, count] : counts) {
        rows.emplace_back(count, outcome);
    }
    std::sort(rows.rbegin(), rows.rend());
    std::cout << total << " requests\n";
    for (const auto &[count, outcome] : rows) {
        std::cout << std::right << std::setw(8) << count << "  " << std::setw(3) << outcome.first << "  "
                  << outcome.second << '\n';
    }
    return ExitCode::Done;
}

}

void addLogCommands(CLI::App &app, ExitCode &exitCode)
{
    auto paths = std::make_shared<std::vector<std::string>>();
    auto id = std::make_shared<std::string>();
    auto *explainCommand = app.add_subcommand("explain", "Tell what happened to a request, from the hosts' logs");
    explainCommand->add_option("request", *id, "The request's id")->required();
    explainCommand->add_option("files", *paths, "Logs of all hosts")->required();
    explainCommand->callback([&exitCode, paths, id] {
        exitCode = explain(*paths, *id);
    });
    auto *accountCommand = app.add_subcommand("account", "Count how requests ended and why, from the hosts' logs");
    accountCommand->add_option("files", *paths, "Logs of all hosts")->required();
    accountCommand->callback([&exitCode, paths] {
        exitCode = account(*paths);
    });
}

}
