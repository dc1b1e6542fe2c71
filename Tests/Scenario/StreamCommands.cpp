#include <Tests/Scenario/Script.h>

namespace Scenario {

namespace {

const std::string &servingEngine(Script &script, const std::string &request)
{
    return script.world().requestNamed(request).caller->head().target.value;
}

// kill-serving NAME: ends the engine that began the answer.
void killServing(Script &script, Words words)
{
    script.world().engines().kill(servingEngine(script, words[0]));
}

// freeze-serving NAME: freezes the engine that began the answer.
void freezeServing(Script &script, Words words)
{
    script.world().engines().at(servingEngine(script, words[0])).process->freeze();
}

// kill-owner ENGINE seen-by HOST
void killOwner(Script &script, Words words)
{
    const auto ownership = script.world().host(words[2]).host->ownership().ownerOf({words[0]});
    expect(ownership.has_value(), "nobody owns it");
    script.world().killHost(ownership->owner.value);
}

// thaw-all: thaws every frozen host and engine.
void thawAll(Script &script, Words /*words*/)
{
    for (auto &[name, host] : script.world().hosts()) {
        host.process->thaw();
    }
    for (auto &[name, engine] : script.world().engines().all()) {
        engine.process->thaw();
    }
}

// restart-dead: starts every dead engine again.
void restartDead(Script &script, Words /*words*/)
{
    for (auto &[name, engine] : script.world().engines().all()) {
        if (engine.process->state() == ProcessState::Dead) {
            script.world().engines().restart(name);
        }
    }
}

// expect served: every request whose entry host runs is completed.
void expectServed(Script &script, Words /*words*/)
{
    for (const auto &[name, request] : script.world().requests()) {
        const bool isRunning = script.world().host(request.host).process->state() == ProcessState::Running;
        expect(!isRunning || request.caller->state() == FakeCaller::State::Completed,
               name + " is " + request.caller->describe());
    }
}

// expect grants COUNT: grants outstanding at all owners that run.
void expectGrants(Script &script, Words words)
{
    std::size_t count = 0;
    for (const auto &[name, host] : script.world().hosts()) {
        if (host.process->state() == ProcessState::Running) {
            for (const auto &[target, table] : host.host->owner().tables()) {
                count += table.grantCount();
            }
        }
    }
    expect(count == std::stoul(words[0]), std::to_string(count) + " grants");
}

// expect deaths COUNT: how often engines have died, restarts included.
void expectDeaths(Script &script, Words words)
{
    std::uint32_t deaths = 0;
    for (const auto &[name, engine] : script.world().engines().all()) {
        deaths += engine.incarnation - 1 + (engine.process->state() == ProcessState::Dead ? 1 : 0);
    }
    expect(deaths == std::stoul(words[0]), std::to_string(deaths) + " deaths");
}

// expect suspicion HOST PROMPT none|suspect|refused by ADAPTER VERSION
void expectSuspicion(Script &script, Words words)
{
    static const std::map<std::string, Routing::Suspicion> suspicions {{"none", Routing::Suspicion::None},
                                                                       {"suspect", Routing::Suspicion::Suspect},
                                                                       {"refused", Routing::Suspicion::Refused}};
    const auto fingerprint = Routing::fingerprintOf({"noor"}, {words[4], words[5]}, words[1]);
    const auto seen = script.world().host(words[0]).host->quarantine().suspicionOf(fingerprint);
    expect(seen == suspicions.at(words[2]), "the suspicion is " + std::to_string(static_cast<int>(seen)));
}

}

void addStreamCommands(Script &script)
{
    script.add("kill-serving", killServing);
    script.add("freeze-serving", freezeServing);
    script.add("kill-owner", killOwner);
    script.add("thaw-all", thawAll);
    script.add("restart-dead", restartDead);
    script.add("expect served", expectServed);
    script.add("expect grants", expectGrants);
    script.add("expect deaths", expectDeaths);
    script.add("expect suspicion", expectSuspicion);
}

}
