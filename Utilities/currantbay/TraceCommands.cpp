#include <currantbay/Commands.h>
#include <currantbay/TraceTree.h>

#include <fstream>
#include <iostream>

namespace Client {

namespace {

// Reads every file; returns false after saying which can't be opened.
bool readFiles(const std::vector<std::string> &paths, TraceTree &tree)
{
    for (const auto &path : paths) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << path << ": can't be opened\n";
            return false;
        }
        tree.read(file);
    }
    if (tree.skippedLines() > 0) {
        std::cerr << tree.skippedLines() << " lines could not be read and were skipped\n";
    }
    return true;
}

ExitCode showTrace(const std::vector<std::string> &paths, const std::string &wanted)
{
    TraceTree tree;
    if (!readFiles(paths, tree)) {
        return ExitCode::BadInput;
    }
    const auto ids = tree.traceIds();
    if (ids.empty()) {
        std::cerr << "the files hold no span\n";
        return ExitCode::BadInput;
    }
    const auto &id = wanted.empty() ? ids.back() : wanted;
    if (tree.firstSpan(id) == nullptr) {
        std::cerr << "the files hold no trace " << id << "; see trace list\n";
        return ExitCode::BadInput;
    }
    tree.draw(id, std::cout);
    return ExitCode::Done;
}

ExitCode listTraces(const std::vector<std::string> &paths)
{
    TraceTree tree;
    if (!readFiles(paths, tree)) {
        return ExitCode::BadInput;
    }
    for (const auto &id : tree.traceIds()) {
        const auto *span = tree.firstSpan(id);
        std::cout << id << "  " << span->name << "  " << span->host << '\n';
    }
    return ExitCode::Done;
}

}

void addTraceCommands(CLI::App &app, ExitCode &exitCode)
{
    auto *trace = app.add_subcommand("trace", "Traces that entry hosts have written");
    trace->require_subcommand(1);
    auto paths = std::make_shared<std::vector<std::string>>();
    auto id = std::make_shared<std::string>();
    auto *show = trace->add_subcommand("show", "Draw one request as a tree with times, by default the last one");
    show->add_option("files", *paths, "Trace files of the hosts, OTLP JSON lines")->required();
    show->add_option("--trace", *id, "The trace's id");
    show->callback([&exitCode, paths, id] {
        exitCode = showTrace(*paths, *id);
    });
    auto *list = trace->add_subcommand("list", "Print the traces in the files, oldest first");
    list->add_option("files", *paths, "Trace files of the hosts, OTLP JSON lines")->required();
    list->callback([&exitCode, paths] {
        exitCode = listTraces(*paths);
    });
}

}
