#include <Tests/Scenario/Script.h>

namespace Scenario {

namespace {

std::string describe(Ticket::AcceptOutcome outcome)
{
    switch (outcome) {
    case Ticket::AcceptOutcome::Accepted:
        return "accepted";
    case Ticket::AcceptOutcome::AcceptedBefore:
        return "accepted-before";
    case Ticket::AcceptOutcome::NumberTaken:
        return "number-taken";
    case Ticket::AcceptOutcome::Superseded:
        return "superseded";
    case Ticket::AcceptOutcome::Unknown:
        return "unknown";
    }
    return "";
}

// ticket NUMBER at HOST adapter NAME versions V1,V2 current V: an adapter, and a rule that opens all to everyone.
void submit(Script &script, Words words)
{
    Ticket::AdapterState adapter {.name = option(words, "adapter", "outline"), .baseModel = "base"};
    const auto versions = option(words, "versions", "1");
    for (std::size_t begin = 0; begin <= versions.size();) {
        const auto end = std::min(versions.find(',', begin), versions.size());
        adapter.versions.push_back(versions.substr(begin, end - begin));
        begin = end + 1;
    }
    adapter.currentVersion = option(words, "current", adapter.versions.front());
    const Ticket::RuleState rule {.name = adapter.name, .customers = {"*"}, .adapters = {adapter.name}};
    script.ticketOutcomes()[words[0]] = "waiting";
    script.world().submitTicket(option(words, "at", ""),
                                {.number = std::stoull(words[0]), .submittedBy = "op", .objects = {adapter, rule}},
                                [&script, number = words[0]](const Ticket::AcceptResult &result) {
                                    script.ticketOutcomes()[number] = describe(result.outcome);
                                });
}

// expect ticket NUMBER OUTCOME
void expectOutcome(Script &script, Words words)
{
    const auto &outcome = script.ticketOutcomes().at(words[0]);
    expect(outcome == words[1], "the ticket is " + outcome);
}

// expect sequence HOST NUMBER
void expectSequence(Script &script, Words words)
{
    const auto sequence = script.world().host(words[0]).host->tickets().state()->sequence();
    expect(sequence == std::stoull(words[1]), "sequence " + std::to_string(sequence) + " is in force");
}

// expect same-tickets HOST HOST: both have the same state in force, down to the byte.
void expectSameTickets(Script &script, Words words)
{
    const auto packed = [&](const std::string &host) {
        return Peer::pack(script.world().host(host).host->tickets().state()->snapshot());
    };
    expect(packed(words[0]) == packed(words[1]), "the states differ");
}

// malformed-feed-row SEQUENCE: someone has written nonsense into the feed.
void breakFeedRow(Script &script, Words words)
{
    script.world().platform().putRow("ticket-feed", Ticket::numberKey(std::stoull(words[0])), "{nonsense");
}

// expect malformed HOST: the host has counted rows that can't be read.
void expectMalformed(Script &script, Words words)
{
    expect(script.world().host(words[0]).host->tickets().malformedRowCount() > 0, "none was counted");
}

}

void addTicketCommands(Script &script)
{
    script.add("ticket", submit);
    script.add("expect ticket", expectOutcome);
    script.add("expect sequence", expectSequence);
    script.add("expect same-tickets", expectSameTickets);
    script.add("malformed-feed-row", breakFeedRow);
    script.add("expect malformed", expectMalformed);
}

}
