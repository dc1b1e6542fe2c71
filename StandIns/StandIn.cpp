#include <StandIns/StandIn.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

namespace StandIns {

namespace {

// A stand-in engine may send a whole answer at once.
constexpr std::size_t MostUnsent = 64UL << 20U;

}

Net::HttpServerOptions serverOptions(const std::string &address)
{
    auto options = Net::listenAt(address);
    options.maxUnsentBytes = MostUnsent;
    return options;
}

}

// Runs one stand-in: platform, engine or service.
int main(int argc, char **argv)
{
    CLI::App app("Stand-ins for the systems around currantbay, for tests and trials");
    app.require_subcommand(1);
    StandIns::StandInOptions options;
    auto *platform = app.add_subcommand("platform", "The table service and the host list");
    auto *engine = app.add_subcommand("engine", "A model engine");
    auto *service = app.add_subcommand("service", "A plain application service");
    for (auto *command : {platform, engine, service}) {
        command->add_option("--listen", options.address, "Address and port to listen on")->required();
    }
    platform->add_option("--machines", options.machinesFile, "The host list as a JSON file")->required();
    engine->add_option("--name", options.name, "Name in the host list")->required();
    engine->add_option("--slots", options.slots, "Adapter slots");
    engine->add_option("--batch", options.batch, "Requests run at once");
    engine->add_option("--load-ms", options.loadMilliseconds, "Time of a load");
    engine->add_option("--token-ms", options.tokenMilliseconds, "Time of a token; 0 sends all at once");
    engine->add_flag("--ignore-fence", options.isFenceIgnored, "Carry out orders with an old fencing number");
    service->add_option("--name", options.name, "Name in the host list")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        Net::EventLoop loop;
        loop.watchSignal(SIGTERM, [&loop] {
            loop.stop();
        });
        loop.watchSignal(SIGINT, [&loop] {
            loop.stop();
        });
        std::unique_ptr<StandIns::StandIn> standIn;
        if (platform->parsed()) {
            standIn = StandIns::makePlatformStandIn(loop, options);
        } else if (engine->parsed()) {
            standIn = StandIns::makeEngineStandIn(loop, options);
        } else {
            standIn = StandIns::makeServiceStandIn(loop, options);
        }
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
