#include <Tests/Scenario/Script.h>

#include <iostream>
#include <memory>

namespace Scenario {

namespace {

constexpr auto AwaitStep = std::chrono::milliseconds(50);

// Every running host that may grant on the target now, with its fence.
std::map<std::string, std::uint64_t> holdersOf(Script &script, const std::string &target)
{
    std::map<std::string, std::uint64_t> holders;
    for (const auto &[name, host] : script.world().hosts()) {
        if (host.process->state() != ProcessState::Running) {
            continue;
        }
        for (const auto &ownership : host.host->ownership().owned()) {
            if (ownership.target.value == target) {
                holders[name] = ownership.fence;
            }
        }
    }
    return holders;
}

std::string join(const std::map<std::string, std::uint64_t> &holders)
{
    std::string names;
    for (const auto &[name, fence] : holders) {
        names += (names.empty() ? "" : ",") + name;
    }
    return names.empty() ? "nobody" : names;
}

// expect owner TARGET HOST [seen-by HOST]
void expectOwner(Script &script, Words words)
{
    const auto ownership
        = script.world().host(option(words, "seen-by", words[1])).host->ownership().ownerOf({words[0]});
    const auto owner = ownership.has_value() ? ownership->owner.value : "nobody";
    expect(owner == words[1], owner + " owns it");
}

// expect holders TARGET HOST,HOST|nobody: who may grant there, by its own knowledge.
void expectHolders(Script &script, Words words)
{
    const auto holders = join(holdersOf(script, words[0]));
    expect(holders == words[1], holders + " may grant there");
}

// await holder TARGET HOST [at-most DURATION]: runs until this host alone may grant, and prints how long it took.
void awaitHolder(Script &script, Words words)
{
    const auto limit = parseDuration(option(words, "at-most", "60s"));
    Core::Duration passed {};
    while (join(holdersOf(script, words[0])) != words[1]) {
        expect(passed < limit, join(holdersOf(script, words[0])) + " may grant there");
        script.world().run(AwaitStep);
        passed += AwaitStep;
    }
    std::cout << "        " << words[1] << " holds " << words[0] << " after " << Core::toMilliseconds(passed)
              << " ms\n";
}

// expect lease HOST held|lapsed
void expectLease(Script &script, Words words)
{
    const bool isHeld = script.world().host(words[0]).host->leases().isLeaseHeld();
    expect(isHeld == (words[1] == "held"), isHeld ? "the lease is held" : "the lease has lapsed");
}

// unlist NAME: the platform's list no longer shows the machine.
void unlist(Script &script, Words words)
{
    script.world().platform().removeMachine(words[0]);
}

}

void addOwnershipCommands(Script &script)
{
    script.add("expect owner", expectOwner);
    script.add("expect holders", expectHolders);
    script.add("expect lease", expectLease);
    script.add("await holder", awaitHolder);
    script.add("unlist", unlist);
    // expect fence-rises TARGET: the holder's fence is higher than when this was last asked.
    script.add("expect fence-rises",
               [last = std::make_shared<std::map<std::string, std::uint64_t>>()](Script &world, Words words) {
                   const auto holders = holdersOf(world, words[0]);
                   expect(holders.size() == 1, join(holders) + " may grant there");
                   const auto fence = holders.begin()->second;
                   expect(fence > (*last)[words[0]], "the fence is " + std::to_string(fence));
                   (*last)[words[0]] = fence;
               });
}

}
