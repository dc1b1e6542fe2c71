#include <measure/path/LoadGenerator.h>
#include <measure/path/ProcessUsage.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sys/utsname.h>
#include <thread>

namespace {

constexpr double LoadShare = 0.1; // Of the saturating load, at which latency is measured.

struct PathOptions {
    std::string direct;
    std::string through;
    std::string token;
    std::string model;
    int frontPid = 0;
    int ownerPid = 0;
    std::size_t count = 4000;
    std::size_t concurrency = 32;
    int tokens = 8;
};

Net::HttpRequest makeDirect(const PathOptions &options)
{
    const nlohmann::json body {{"attempt", "measure"}, {"adapter", {{"name", options.model}, {"version", "2"}}},
                               {"prompt", "measure"},  {"mostTokens", options.tokens},
                               {"offset", 0},          {"priority", 0}};
    return {.method = "POST",
            .url = "http://" + options.direct + "/v1/generate",
            .headers = {"Content-Type: application/json"},
            .body = body.dump()};
}

Net::HttpRequest makeThrough(const PathOptions &options)
{
    const nlohmann::json body {
        {"model", options.model}, {"prompt", "measure"}, {"max_tokens", options.tokens}, {"stream", true}};
    return {.method = "POST",
            .url = "http://" + options.through + "/v1/completions",
            .headers = {"Content-Type: application/json", "Authorization: Bearer " + options.token},
            .body = body.dump()};
}

void printRow(const char *name, const Measure::Latencies &latencies)
{
    std::printf("%-10s %8zu %8zu %10.3f %10.3f\n", name, latencies.values.size(), latencies.failures,
                static_cast<double>(latencies.quantile(0.5).count()) / 1000,
                static_cast<double>(latencies.quantile(0.99).count()) / 1000);
}

void measure(const PathOptions &options)
{
    utsname machine {};
    uname(&machine);
    std::printf("currantbay %s, %s %s, %u cores, loopback\n", CURRANTBAY_VERSION, machine.sysname, machine.release,
                std::thread::hardware_concurrency());
    Measure::LoadGenerator load;
    const auto direct = [&] {
        return makeDirect(options);
    };
    const auto through = [&] {
        return makeThrough(options);
    };

    const auto frontBefore = Measure::readProcessUsage(options.frontPid);
    const auto ownerBefore = Measure::readProcessUsage(options.ownerPid);
    const auto [saturated, took] = load.runClosedLoop(through, options.concurrency, options.count);
    const auto front = Measure::readProcessUsage(options.frontPid);
    const auto owner = Measure::readProcessUsage(options.ownerPid);
    const auto perSecond = static_cast<double>(options.count) / std::chrono::duration<double>(took).count();
    const auto frontTime = (front.processorTime - frontBefore.processorTime).count();
    const auto ownerTime = (owner.processorTime - ownerBefore.processorTime).count();
    const auto perCore = static_cast<double>(options.count) / (frontTime + ownerTime);
    std::printf("saturating load, %zu at once: %.0f requests/s, %zu failed\n", options.concurrency, perSecond,
                saturated.failures);
    std::printf("front %.3f s and owner %.3f s of processor for %zu requests of %d tokens: %.0f requests and %.0f "
                "tokens a second per core\n",
                frontTime, ownerTime, options.count, options.tokens, perCore, perCore * options.tokens);

    const auto latencies = load.runSideBySide(direct, through, perSecond * LoadShare, options.count);
    const auto &directLatencies = latencies.first;
    const auto &throughLatencies = latencies.second;
    std::printf("at %.0f requests/s of each kind, side by side:\n%-10s %8s %8s %10s %10s\n", perSecond * LoadShare,
                "call", "ended", "failed", "p50 ms", "p99 ms");
    printRow("direct", directLatencies);
    printRow("through", throughLatencies);
    const auto added = [&](double share) {
        return static_cast<double>((throughLatencies.quantile(share) - directLatencies.quantile(share)).count()) / 1000;
    };
    std::printf("peak memory: front %ld KiB, owner %ld KiB; threads: front %ld\n", front.peakKibibytes,
                owner.peakKibibytes, front.threads);
    std::printf("added_p50_ms=%.3f added_p99_ms=%.3f requests_per_core=%.0f tokens_per_core=%.0f peak_kib=%ld "
                "failed=%zu\n",
                added(0.5), added(0.99), perCore, perCore * options.tokens, front.peakKibibytes,
                saturated.failures + directLatencies.failures + throughLatencies.failures);
}

}

// Measures what the whole path adds to calling an engine directly, with running processes.
int main(int argc, char **argv)
{
    CLI::App app("Measures the running path on loopback under a bounded load");
    PathOptions options;
    app.add_option("--direct", options.direct, "Address of the engine")->required();
    app.add_option("--through", options.through, "Address of the entry host")->required();
    app.add_option("--token", options.token, "A caller's token")->required();
    app.add_option("--model", options.model, "The adapter")->required();
    app.add_option("--front-pid", options.frontPid, "Process of the entry host that is called")->required();
    app.add_option("--owner-pid", options.ownerPid, "Process of the engine's owner")->required();
    app.add_option("--count", options.count, "Requests of each kind")->check(CLI::Range(1, 100000));
    app.add_option("--concurrency", options.concurrency, "Requests at once at saturation")->check(CLI::Range(1, 256));
    app.add_option("--tokens", options.tokens, "Tokens of each answer")->check(CLI::Range(1, 4096));
    CLI11_PARSE(app, argc, argv);
    try {
        measure(options);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
