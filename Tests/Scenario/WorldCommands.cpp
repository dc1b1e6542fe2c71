#include <Tests/Scenario/Script.h>

#include <array>
#include <iostream>

namespace Scenario {

namespace {

// host NAME zone ZONE
void addHost(Script &script, Words words)
{
    script.world().addHost(words[0], option(words, "zone", "a"));
}

// engine NAME zone ZONE [slots N] [batch N] [load DURATION] [token DURATION] [fence checks|ignores]
void addEngine(Script &script, Words words)
{
    script.world().addEngine({.name = words[0],
                              .zone = option(words, "zone", "a"),
                              .slots = static_cast<std::uint32_t>(std::stoul(option(words, "slots", "2"))),
                              .batch = static_cast<std::uint32_t>(std::stoul(option(words, "batch", "8"))),
                              .fenceChecking = option(words, "fence", "checks") == "checks"
                                  ? Platform::FenceChecking::Checks
                                  : Platform::FenceChecking::Ignores,
                              .loadTime = parseDuration(option(words, "load", "250ms")),
                              .tokenTime = parseDuration(option(words, "token", "10ms"))});
}

// run DURATION
void run(Script &script, Words words)
{
    script.world().run(parseDuration(words[0]));
}

// expect ready HOST yes|no
void expectReady(Script &script, Words words)
{
    const bool isReady = script.world().host(words[0]).host->isReady();
    expect(isReady == (words[1] == "yes"), isReady ? "the host is ready" : "the host isn't ready");
}

// show: prints what each owner decides and what each engine reports, for finding causes.
void show(Script &script, Words /*words*/)
{
    constexpr std::array StateNames {"loading", "ready", "unloading"};
    for (const auto &[name, fake] : script.world().hosts()) {
        std::cout << "        " << name << ": " << fake.host->owner().waitingCount() << " waiting\n";
        for (const auto &ownership : fake.host->ownership().owned()) {
            std::cout << "          holds " << ownership.target << " by fence " << ownership.fence << ":";
            const auto &tables = fake.host->owner().tables();
            if (const auto table = tables.find(ownership.target); table != tables.end()) {
                std::cout << ' ' << table->second.incarnation();
                for (const auto &[adapter, slot] : table->second.slots()) {
                    std::cout << ' ' << adapter.toString() << ' ' << StateNames.at(static_cast<std::size_t>(slot.state))
                              << " (" << slot.grants.size() << " grants)";
                }
            }
            std::cout << '\n';
        }
    }
    for (const auto &[name, engine] : script.world().engines().all()) {
        const auto status = engine.model->status();
        std::cout << "        " << name << ": " << status.incarnation;
        for (const auto &slot : status.slots) {
            std::cout << ' ' << slot.adapter.toString() << " (" << slot.runningRequests << " running)";
        }
        std::cout << '\n';
    }
}

// expect loads ENGINE COUNT
void expectLoads(Script &script, Words words)
{
    const auto count = script.world().engines().at(words[0]).model->loadCount();
    expect(count == std::stoul(words[1]), std::to_string(count) + " loads");
}

}

void addWorldCommands(Script &script)
{
    script.add("host", addHost);
    script.add("engine", addEngine);
    script.add("run", run);
    script.add("show", show);
    script.add("expect ready", expectReady);
    script.add("expect loads", expectLoads);
}

}
