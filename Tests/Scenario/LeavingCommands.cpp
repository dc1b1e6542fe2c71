#include <Tests/Scenario/Script.h>

#include <iostream>

namespace Scenario {

namespace {

// leave ENGINE report|list: the engine begins to leave, as its own report or the platform's list says.
void leave(Script &script, Words words)
{
    auto &engine = script.world().engines().at(words[0]);
    engine.leftAt = script.world().clock().now();
    if (words[1] == "report") {
        engine.model->setLeaving(true);
        return;
    }
    script.world().platform().putMachine({.kind = Platform::MachineKind::Engine,
                                          .state = Platform::MachineState::Leaving,
                                          .name = words[0],
                                          .zone = {engine.options.zone},
                                          .address = words[0],
                                          .role = "base",
                                          .fenceChecking = engine.options.fenceChecking});
}

// relist ENGINE: the platform's list says that the engine is live, as an older list does.
void relist(Script &script, Words words)
{
    const auto &engine = script.world().engines().at(words[0]);
    script.world().platform().putMachine({.kind = Platform::MachineKind::Engine,
                                          .name = words[0],
                                          .zone = {engine.options.zone},
                                          .address = words[0],
                                          .role = "base",
                                          .fenceChecking = engine.options.fenceChecking});
}

// expect leaving ENGINE yes|no seen-by HOST
void expectLeaving(Script &script, Words words)
{
    const auto *target = script.world().host(option(words, "seen-by", "")).host->directory().find({words[0]});
    const bool isLeaving = target != nullptr && target->state == Platform::MachineState::Leaving;
    expect(isLeaving == (words[1] == "yes"), isLeaving ? "it is seen as leaving" : "it isn't seen as leaving");
}

// expect last-start ENGINE within DURATION: no request began there later than this after it began to leave.
void expectLastStart(Script &script, Words words)
{
    const auto &engine = script.world().engines().at(words[0]);
    const auto late = engine.lastStart - engine.leftAt;
    std::cout << "        " << words[0] << " began its last request " << Core::toMilliseconds(late)
              << " ms after it began to leave\n";
    expect(late <= parseDuration(words[2]),
           "a request began " + std::to_string(Core::toMilliseconds(late)) + " ms after it began to leave");
}

// stream-of-requests PREFIX at HOST model MODEL every DURATION count N [tokens N]: one request after the other.
void streamOfRequests(Script &script, Words words)
{
    const auto count = std::stoi(option(words, "count", "10"));
    for (int i = 1; i <= count; ++i) {
        script.world().request(
            words[0] + std::to_string(i), option(words, "at", ""), "noor", option(words, "model", ""),
            static_cast<std::uint32_t>(std::stoul(option(words, "tokens", "5"))), std::chrono::seconds(60));
        script.world().run(parseDuration(option(words, "every", "100ms")));
    }
}

// expect all PREFIX completed: every request of a stream has its whole answer.
void expectAll(Script &script, Words words)
{
    for (const auto &[name, request] : script.world().requests()) {
        if (name.starts_with(words[0])) {
            expect(request.caller->state() == FakeCaller::State::Completed, name + " is " + request.caller->describe());
        }
    }
}

// expect left HOST: the planned stop has ended.
void expectLeft(Script &script, Words words)
{
    expect(script.world().host(words[0]).hasLeft == (words.size() < 2 || words[1] == "yes"), "the stop differs");
}

}

void addLeavingCommands(Script &script)
{
    script.add("leave", leave);
    script.add("relist", relist);
    script.add("expect leaving", expectLeaving);
    script.add("expect last-start", expectLastStart);
    script.add("stream-of-requests", streamOfRequests);
    script.add("expect all", expectAll);
    script.add("expect left", expectLeft);
}

}
