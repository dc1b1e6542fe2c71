#include <CLI/CLI.hpp>
#include <Tests/Scenario/World.h>
#include <algorithm>
#include <chrono>
#include <iostream>
#include <stdexcept>

namespace {

constexpr int ZoneCount = 3;
constexpr auto Step = std::chrono::milliseconds(10);
constexpr auto LongestWait = std::chrono::seconds(30);

struct Options {
    int hosts = 21;
    int tickets = 50;
    int adapters = 11000;
    long lagMilliseconds = 0;
    bool isPollOnly = false;
};

// The times at which one ticket was in force at each host, in milliseconds since it was submitted.
std::vector<long> submitAndWait(Scenario::World &world, std::uint64_t number)
{
    Ticket::AdapterState adapter {
        .name = "adapter-" + std::to_string(number), .baseModel = "base", .versions = {"1"}, .currentVersion = "1"};
    world.submitTicket("h0", {.number = number, .submittedBy = "op", .objects = {adapter}}, [](const auto &) {});
    std::map<std::string, long> times;
    for (Core::Duration waited {}; times.size() < world.hosts().size() && waited < LongestWait; waited += Step) {
        world.clock().advance(Step);
        for (const auto &[name, host] : world.hosts()) {
            if (host.host->tickets().state()->sequence() >= number) {
                times.emplace(name, Core::toMilliseconds(waited + Step));
            }
        }
    }
    std::vector<long> all;
    for (const auto &[name, time] : times) {
        all.push_back(time);
    }
    return all;
}

long quantile(std::vector<long> &sorted, double share)
{
    return sorted.at(static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1)));
}

void measureSpread(const Options &options)
{
    Scenario::World world(1);
    for (int i = 0; i < options.hosts; ++i) {
        world.addHost("h" + std::to_string(i), "zone-" + std::to_string(i % ZoneCount));
    }
    world.clock().advance(std::chrono::seconds(10));
    if (options.isPollOnly) {
        for (int i = 0; i < options.hosts; ++i) {
            for (int j = 0; j < options.hosts; ++j) {
                world.network().cut("h" + std::to_string(i), "h" + std::to_string(j));
            }
        }
    }
    world.platform().setReadLag(std::chrono::milliseconds(options.lagMilliseconds));
    std::vector<long> times;
    std::vector<long> slowest;
    const auto polls = [&world] {
        std::uint64_t count = 0;
        for (const auto &[name, host] : world.hosts()) {
            count += host.host->tickets().pollCount();
        }
        return count;
    };
    const auto before = polls();
    const auto start = world.clock().now();
    for (int i = 1; i <= options.tickets; ++i) {
        const auto one = submitAndWait(world, static_cast<std::uint64_t>(i));
        times.insert(times.end(), one.begin(), one.end());
        slowest.push_back(*std::max_element(one.begin(), one.end()));
        world.clock().advance(std::chrono::milliseconds(8640 + i * 37)); // 10,000 tickets a day.
    }
    const std::chrono::duration<double> elapsed = world.clock().now() - start;
    std::sort(times.begin(), times.end());
    std::sort(slowest.begin(), slowest.end());
    std::cout << (options.isPollOnly ? "poll alone" : "hint+poll ") << "  hosts " << options.hosts << "  read lag "
              << options.lagMilliseconds << " ms  tickets " << options.tickets << ": in force at a host after median "
              << quantile(times, 0.5) << " ms, p99 " << quantile(times, 0.99) << " ms; at all hosts median "
              << quantile(slowest, 0.5) << " ms, p99 " << quantile(slowest, 0.99) << " ms; feed reads a second a host "
              << static_cast<double>(polls() - before) / elapsed.count() / options.hosts << '\n';
}

// What applying one ticket to a state of many adapters costs on this machine.
void measureApply(const Options &options)
{
    Ticket::TicketState state;
    std::uint64_t sequence = 0;
    const auto next = [&sequence, &options] {
        ++sequence;
        const auto name = "adapter-" + std::to_string(sequence % static_cast<std::uint64_t>(options.adapters));
        return Ticket::FeedEntry {
            .sequence = sequence,
            .ticket
            = {.number = sequence,
               .objects = {Ticket::AdapterState {
                               .name = name, .baseModel = "base", .versions = {"1", "2"}, .currentVersion = "2"},
                           Ticket::RuleState {.name = name, .customers = {"noor"}, .adapters = {name}}}}};
    };
    for (int i = 0; i < options.adapters; ++i) {
        (void)state.apply(next());
    }
    constexpr int Rounds = 2000;
    constexpr int CopyRounds = 20;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < Rounds; ++i) {
        auto copy = state;
        (void)copy.apply(next());
        state = std::move(copy);
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
    const auto adapters = state.adapters();
    const auto copyBegin = std::chrono::steady_clock::now();
    for (int i = 0; i < CopyRounds; ++i) {
        const auto copy = adapters;
        if (copy.size() != adapters.size()) {
            throw std::logic_error("a copy differs");
        }
    }
    const std::chrono::duration<double, std::micro> copying = std::chrono::steady_clock::now() - copyBegin;
    std::cout << "apply: " << options.adapters << " adapters and rules, copy and one ticket: " << spent.count() / Rounds
              << " us; a plain copy of the adapters alone: " << copying.count() / CopyRounds << " us; snapshot "
              << Peer::pack(state.snapshot()).size() / 1024 << " KiB\n";
}

}

// Measures on a virtual clock how soon a ticket is in force at every host, and what applying one costs.
int main(int argc, char **argv)
{
    Options options;
    CLI::App app("Measures tickets: time in force, reads and the cost of applying one");
    app.add_option("--hosts", options.hosts, "Entry hosts in three zones")->check(CLI::Range(1, 600));
    app.add_option("--tickets", options.tickets, "Tickets to submit")->check(CLI::Range(1, 10000));
    app.add_option("--adapters", options.adapters, "Adapters in the state")->check(CLI::Range(1, 1000000));
    app.add_option("--read-lag-ms", options.lagMilliseconds, "Lag of the table service's reads")
        ->check(CLI::Range(0, 60000));
    CLI11_PARSE(app, argc, argv);
    for (const bool isPollOnly : {true, false}) {
        options.isPollOnly = isPollOnly;
        measureSpread(options);
    }
    measureApply(options);
    return 0;
}
