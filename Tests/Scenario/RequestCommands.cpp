#include <Tests/Scenario/Script.h>

namespace Scenario {

namespace {

// request NAME at HOST model MODEL [tokens N] [customer CUSTOMER] [timeout DURATION]
void request(Script &script, Words words)
{
    script.world().request(words[0], option(words, "at", ""), option(words, "customer", "noor"),
                           option(words, "model", ""),
                           static_cast<std::uint32_t>(std::stoul(option(words, "tokens", "5"))),
                           parseDuration(option(words, "timeout", "60s")));
}

// abandon NAME: the caller goes away.
void abandon(Script &script, Words words)
{
    script.world().requestNamed(words[0]).abandon();
}

// expect request NAME completed [by ADAPTER@VERSION] [on ENGINE]
// expect request NAME waiting|streaming|refused|cut|lost [not-run|unknown] [code CODE]
void expectRequest(Script &script, Words words)
{
    using State = FakeCaller::State;
    static const std::map<std::string, State> states {{"waiting", State::Waiting},
                                                      {"streaming", State::Streaming},
                                                      {"completed", State::Completed},
                                                      {"refused", State::Refused},
                                                      {"cut", State::Cut},
                                                      {"lost", State::Lost}};
    const auto &caller = *script.world().requestNamed(words[0]).caller;
    const auto seen = "the request is " + caller.describe();
    expect(caller.state() == states.at(words[1]), seen);
    const auto adapter = option(words, "by", "");
    expect(adapter.empty() || caller.head().adapter.toString() == adapter, seen);
    const auto target = option(words, "on", "");
    expect(target.empty() || caller.head().target.value == target, seen);
    const auto code = option(words, "code", "");
    expect(code.empty() || (caller.refusal().has_value() && caller.refusal()->code == code), seen);
    if (words.size() > 2 && (words[2] == "not-run" || words[2] == "unknown")) {
        expect(caller.refusal().has_value() && Front::toText(caller.refusal()->outcome) == words[2], seen);
    }
}

// expect all-ended: no caller is waiting or in mid-answer.
void expectAllEnded(Script &script, Words /*words*/)
{
    for (const auto &[name, request] : script.world().requests()) {
        const auto state = request.caller->state();
        expect(state != FakeCaller::State::Waiting && state != FakeCaller::State::Streaming,
               name + " at " + request.host + " is " + request.caller->describe());
    }
}

// expect starts NAME COUNT: how often engines have begun to run the request.
void expectStarts(Script &script, Words words)
{
    int starts = 0;
    for (const auto &[name, engine] : script.world().engines().all()) {
        const auto found = engine.startCounts.find(words[0]);
        starts += found == engine.startCounts.end() ? 0 : found->second;
    }
    expect(starts == std::stoi(words[1]), std::to_string(starts) + " starts");
}

}

void addRequestCommands(Script &script)
{
    script.add("request", request);
    script.add("abandon", abandon);
    script.add("expect request", expectRequest);
    script.add("expect all-ended", expectAllEnded);
    script.add("expect starts", expectStarts);
}

}
