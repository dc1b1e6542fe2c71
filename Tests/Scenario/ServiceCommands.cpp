#include <Tests/Scenario/Script.h>

namespace Scenario {

namespace {

FakeService &service(Script &script, const std::string &name)
{
    return script.world().services().at(name);
}

// service NAME zone ZONE
void addService(Script &script, Words words)
{
    script.world().addService(words[0], option(words, "zone", "a"));
}

// route NUMBER at HOST fence yes|no: a ticket that opens the route "seats" to the service "seats".
void addRoute(Script &script, Words words)
{
    const bool canFence = option(words, "fence", "yes") == "yes";
    const Ticket::ServiceRouteState route {
        .name = "seats", .service = "seats", .idempotentMethods = {"GET"}, .fencePath = canFence ? "/attempts" : ""};
    script.world().submitTicket(option(words, "at", ""),
                                {.number = std::stoull(words[0]), .submittedBy = "op", .objects = {route}},
                                [](const auto &) {});
}

// call NAME at HOST [key KEY] [method METHOD] [body BODY] [customer CUSTOMER] [timeout DURATION]
void call(Script &script, Words words)
{
    script.world().callService(words[0], option(words, "at", ""),
                               {.customer = {option(words, "customer", "noor")},
                                .method = option(words, "method", "POST"),
                                .path = "/seats/join",
                                .route = option(words, "route", "seats"),
                                .body = option(words, "body", "join"),
                                .key = option(words, "key", ""),
                                .timeout = parseDuration(option(words, "timeout", "10s"))});
}

// calls NAME COUNT at HOST: that many calls at once, each with a key of its own, "NAME-1" and so on.
void callMany(Script &script, Words words)
{
    for (int number = 1; number <= std::stoi(words[1]); ++number) {
        const auto name = words[0] + "-" + std::to_string(number);
        const std::vector<std::string> one {name, "at", option(words, "at", ""), "key", name};
        call(script, one);
    }
}

// expect call NAME waiting|completed|replayed|not-run|unknown|ran [code CODE]
void expectCall(Script &script, Words words)
{
    const auto &answer = *script.world().callNamed(words[0]).answer;
    const auto code = answer.refusal().has_value() ? answer.refusal()->code : "";
    const auto seen = "the call is " + answer.outcome() + " " + code;
    expect(answer.outcome() == words[1], seen);
    const auto wanted = option(words, "code", "");
    expect(wanted.empty() || code == wanted, seen);
}

// expect runs KEY COUNT
void expectRuns(Script &script, Words words)
{
    const auto &runs = script.world().services().runs();
    const auto found = runs.find(words[0]);
    const auto count = found == runs.end() ? 0 : found->second;
    expect(count == std::stoi(words[1]), std::to_string(count) + " runs");
}

// expect writes HOST at-most COUNT: transactions that the host's ledger has sent.
void expectWrites(Script &script, Words words)
{
    const auto count = script.world().host(words[0]).metrics->countOf("currantbay_ledger_transactions_total");
    expect(count <= std::stoul(words[2]), std::to_string(count) + " transactions");
}

// lose-service-answers NAME COUNT: calls that run without an answer.
void loseAnswers(Script &script, Words words)
{
    service(script, words[0]).answersToLose = std::stoi(words[1]);
}

// service-time NAME DURATION
void setRunTime(Script &script, Words words)
{
    service(script, words[0]).runTime = parseDuration(words[1]);
}

// silence-service NAME on|off: connections open and nothing comes back.
void silence(Script &script, Words words)
{
    service(script, words[0]).isSilent = words[1] == "on";
}

// kill-service NAME
void kill(Script &script, Words words)
{
    script.world().services().kill(words[0]);
}

// restart-service NAME
void restart(Script &script, Words words)
{
    script.world().services().restart(words[0]);
}

// delay-writes COUNT DURATION: transactions that take effect so much later, after their senders gave up.
void delayWrites(Script &script, Words words)
{
    script.world().platform().delayWrites(std::stoi(words[0]), parseDuration(words[1]));
}

}

void addServiceCommands(Script &script)
{
    script.add("service", addService);
    script.add("route", addRoute);
    script.add("call", call);
    script.add("calls", callMany);
    script.add("expect call", expectCall);
    script.add("expect runs", expectRuns);
    script.add("expect writes", expectWrites);
    script.add("lose-service-answers", loseAnswers);
    script.add("service-time", setRunTime);
    script.add("silence-service", silence);
    script.add("kill-service", kill);
    script.add("restart-service", restart);
    script.add("delay-writes", delayWrites);
}

}
