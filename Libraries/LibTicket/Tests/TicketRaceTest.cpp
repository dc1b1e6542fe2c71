#include <LibPeer/Envelope.h>
#include <LibTicket/Tests/FaultyTable.h>
#include <LibTicket/TicketAcceptor.h>
#include <LibTicket/TicketFeed.h>
#include <LibTicket/TicketJson.h>
#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

namespace Ticket::Tests {

namespace {

constexpr int HostCount = 3;
constexpr std::array<const char *, 3> Names {"outline", "summary", "rare"};

// A step of the property test: an operator submits a ticket, or the faults of the table service change.
struct Step {
    int host = 0;
    int milliseconds = 0; // Time to wait before the step.
    std::uint64_t number = 0; // The ticket to submit; zero changes the faults instead.
    unsigned changedNames = 1; // A bit mask of the names that the ticket changes.
    int version = 1;
    int lagMilliseconds = 0;
    int percentLost = 0;
    bool isDown = false;
    bool isHintLost = false;
};

rc::Gen<Step> arbitraryStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::host, rc::gen::inRange(0, HostCount)),
                                rc::gen::set(&Step::milliseconds, rc::gen::element(0, 5, 40, 900, 3500)),
                                rc::gen::set(&Step::number, rc::gen::inRange<std::uint64_t>(0, 8)),
                                rc::gen::set(&Step::changedNames, rc::gen::inRange(1U, 8U)),
                                rc::gen::set(&Step::version, rc::gen::inRange(1, 3)),
                                rc::gen::set(&Step::lagMilliseconds, rc::gen::element(0, 100, 4000)),
                                rc::gen::set(&Step::percentLost, rc::gen::element(0, 20, 60)),
                                rc::gen::set(&Step::isDown,
                                             rc::gen::map(rc::gen::inRange(0, 6),
                                                          [](int number) {
                                                              return number == 0;
                                                          })),
                                rc::gen::set(&Step::isHintLost, rc::gen::arbitrary<bool>()));
}

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{host " << step.host << " after " << step.milliseconds << " ms, ticket " << step.number
                  << " changes " << step.changedNames << " version " << step.version << "; lag " << step.lagMilliseconds
                  << " ms, lost " << step.percentLost << "%, down " << step.isDown << "}";
}

Ticket makeTicket(const Step &step)
{
    Ticket ticket {.number = step.number, .submittedBy = "operator"};
    for (unsigned i = 0; i < Names.size(); ++i) {
        if ((step.changedNames & (1U << i)) != 0) {
            const auto version = std::to_string(step.version);
            ticket.objects.emplace_back(
                AdapterState {.name = Names[i], .baseModel = "base", .versions = {version}, .currentVersion = version});
        }
    }
    return ticket;
}

// The state that must result from the rows of the feed, as computed by a simple loop.
struct ReferenceState {
    std::map<std::uint64_t, Ticket> tickets;
    std::map<std::string, std::uint64_t> numbers;
    std::map<std::string, AdapterState> adapters;
};

ReferenceState replay(const StandIns::MemoryTable &rows)
{
    ReferenceState reference;
    std::uint64_t sequence = 0;
    for (const auto &row : rows.scan("ticket-feed", "", 1000)) {
        const auto entry = feedEntryFromText(row.value);
        RC_ASSERT(entry.has_value());
        // Sequences have neither gaps nor duplicates, and no ticket is accepted twice.
        RC_ASSERT(entry->sequence == ++sequence);
        RC_ASSERT(reference.tickets.emplace(entry->ticket.number, entry->ticket).second);
        for (const auto &object : entry->ticket.objects) {
            const auto &adapter = std::get<AdapterState>(object);
            // The number of an object only increases.
            RC_ASSERT(reference.numbers[adapter.name] < entry->ticket.number);
            reference.numbers[adapter.name] = entry->ticket.number;
            reference.adapters[adapter.name] = adapter;
        }
    }
    return reference;
}

struct TestHost {
    TestHost(Core::VirtualScheduler &clock, FaultyTable &table, std::uint64_t seed)
        : ids(seed)
        , feed(clock, table, ids, {})
        , acceptor(clock, table, ids, [this] {
            return feed.state()->sequence();
        })
    {
        feed.onChange([this](const TicketState &state) {
            RC_ASSERT(state.sequence() > lastSequence);
            lastSequence = state.sequence();
            for (const auto *name : Names) {
                const auto number = state.objectNumber(std::string("adapter/") + name);
                RC_ASSERT(number >= lastNumbers[name]);
                lastNumbers[name] = number;
            }
        });
        feed.start();
    }

    Core::IdSource ids;
    TicketFeed feed;
    TicketAcceptor acceptor;
    std::uint64_t lastSequence = 0;
    std::map<std::string, std::uint64_t> lastNumbers;
};

struct Outcome {
    Ticket ticket;
    AcceptResult result;
};

void checkOutcome(const Outcome &outcome, const ReferenceState &reference)
{
    const auto &ticket = outcome.ticket;
    const auto found = reference.tickets.find(ticket.number);
    const bool isInFeed = found != reference.tickets.end() && found->second.objects == ticket.objects;
    switch (outcome.result.outcome) {
    case AcceptOutcome::Accepted:
    case AcceptOutcome::AcceptedBefore:
        RC_ASSERT(isInFeed);
        return;
    case AcceptOutcome::NumberTaken:
        RC_ASSERT(found != reference.tickets.end() && !isInFeed);
        return;
    case AcceptOutcome::Superseded:
        RC_ASSERT(!isInFeed);
        RC_ASSERT(std::any_of(ticket.objects.begin(), ticket.objects.end(), [&](const auto &object) {
            const auto number = reference.numbers.find(std::get<AdapterState>(object).name);
            return number != reference.numbers.end() && number->second > ticket.number;
        }));
        return;
    case AcceptOutcome::Unknown:
        return;
    }
}

void runSteps(const std::vector<Step> &steps, std::uint64_t seed)
{
    Core::VirtualScheduler clock;
    FaultyTable table(clock, seed);
    std::vector<std::unique_ptr<TestHost>> hosts;
    for (int i = 0; i < HostCount; ++i) {
        hosts.push_back(std::make_unique<TestHost>(clock, table, seed + static_cast<std::uint64_t>(i) + 1));
    }
    std::size_t submitted = 0;
    std::vector<Outcome> outcomes;
    for (const auto &step : steps) {
        clock.advance(std::chrono::milliseconds(step.milliseconds));
        if (step.number == 0) {
            table.setFaults(std::chrono::milliseconds(step.lagMilliseconds), step.percentLost, step.isDown);
            continue;
        }
        ++submitted;
        const auto ticket = makeTicket(step);
        hosts[static_cast<std::size_t>(step.host)]->acceptor.accept(
            ticket, [&, ticket, step](const AcceptResult &result) {
                outcomes.push_back({.ticket = ticket, .result = result});
                for (auto &host : hosts) {
                    if (result.entry.has_value() && !step.isHintLost) {
                        host->feed.offer(*result.entry);
                    }
                }
            });
    }
    table.setFaults({}, 0, false);
    clock.advance(std::chrono::seconds(60));
    RC_ASSERT(outcomes.size() == submitted);
    const auto reference = replay(table.rows());
    for (const auto &outcome : outcomes) {
        checkOutcome(outcome, reference);
    }
    for (const auto &host : hosts) {
        RC_ASSERT(host->feed.state()->sequence() == reference.tickets.size());
        RC_ASSERT(host->feed.state()->adapters() == reference.adapters);
        // A state that is restored from the snapshot equals the original.
        const auto packed = Peer::pack(host->feed.state()->snapshot());
        const TicketState copy(Peer::unpack<TicketSnapshot>(packed));
        RC_ASSERT(copy.adapters() == reference.adapters);
        RC_ASSERT(Peer::pack(copy.snapshot()) == packed);
    }
}

}

class TicketRaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TicketRaceTest);
    CPPUNIT_TEST(concurrentSubmissionsConverge);
    CPPUNIT_TEST(retryOfAcceptedTicketIsNotSuperseded);
    CPPUNIT_TEST(outOfOrderAndAppliedEntriesChangeNothing);
    CPPUNIT_TEST(jsonAndSnapshotPreserveEveryMember);
    CPPUNIT_TEST(feedContinuesAfterMalformedRowIsRepaired);
    CPPUNIT_TEST(numberFromTextAcceptsOnlyDigitsInRange);
    CPPUNIT_TEST(ruleIndexMatchesScanOfAllRules);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        if (getenv("RC_PARAMS") == nullptr) {
            setenv("RC_PARAMS", "seed=1 max_success=200", 1);
        }
    }

    // Operators submit tickets at several hosts while the table service returns stale rows, loses responses or is down.
    void concurrentSubmissionsConverge()
    {
        CPPUNIT_ASSERT(rc::check("all hosts apply each ticket once, in the same order", [] {
            const auto steps = *rc::gen::resize(40, rc::gen::container<std::vector<Step>>(arbitraryStep()));
            runSteps(steps, *rc::gen::inRange<std::uint64_t>(1, 1000000));
        }));
    }

    // Guards against a retry that is refused as superseded although its ticket was accepted. Tickets 1 and 2 are
    // accepted in this order. When ticket 1 is submitted again, reads show the number of ticket 2 but not the row of
    // ticket 1.
    void retryOfAcceptedTicketIsNotSuperseded()
    {
        Core::VirtualScheduler clock;
        FaultyTable table(clock, 1);
        TestHost host(clock, table, 7);
        std::vector<AcceptOutcome> outcomes;
        const auto submit = [&](std::uint64_t number) {
            host.acceptor.accept(makeTicket({.number = number}), [&](const AcceptResult &result) {
                outcomes.push_back(result.outcome);
            });
            clock.advance(std::chrono::seconds(1));
        };
        submit(1);
        submit(2);
        table.freezeReads(std::string(Tables::Tickets));
        submit(1);
        table.freezeReads("");
        clock.advance(std::chrono::seconds(20));
        using enum AcceptOutcome;
        CPPUNIT_ASSERT((outcomes == std::vector {Accepted, Accepted, AcceptedBefore}));
    }

    void outOfOrderAndAppliedEntriesChangeNothing()
    {
        using Outcome = TicketState::ApplyOutcome;
        TicketState state;
        const auto apply = [&state](std::uint64_t sequence, int version) {
            return state.apply({.sequence = sequence, .ticket = makeTicket({.number = sequence, .version = version})});
        };
        CPPUNIT_ASSERT(apply(2, 1) == Outcome::OutOfOrder);
        CPPUNIT_ASSERT(apply(1, 1) == Outcome::Applied);
        CPPUNIT_ASSERT(apply(2, 2) == Outcome::Applied);
        CPPUNIT_ASSERT(apply(2, 3) == Outcome::AlreadyApplied);
        CPPUNIT_ASSERT(apply(1, 3) == Outcome::AlreadyApplied);
        CPPUNIT_ASSERT(apply(4, 3) == Outcome::OutOfOrder);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), state.findAdapter("outline")->currentVersion);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.sequence());
    }

    // JSON and snapshots encode the same objects; both must preserve every member.
    void jsonAndSnapshotPreserveEveryMember()
    {
        const auto entry = feedEntryFromText(R"({"sequence":1,"ticket":{"number":9,"objects":[
            {"kind":"adapter","name":"a","baseModel":"b","versions":["1","2"],"currentVersion":"2","retired":true},
            {"kind":"rule","name":"r","customers":["c"],"adapters":["a*"]},
            {"kind":"route","name":"s","service":"seats","idempotentMethods":["GET"],"fencePath":"/attempts"}]}})");
        TicketState state;
        CPPUNIT_ASSERT(state.apply(entry.value()) == TicketState::ApplyOutcome::Applied);
        const auto copy = Peer::unpack<TicketSnapshot>(Peer::pack(state.snapshot()));
        const std::vector<ObjectState> objects {copy.adapters.at(0).object, copy.rules.at(0).object,
                                                copy.routes.at(0).object};
        CPPUNIT_ASSERT(objects == entry->ticket.objects);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), copy.routes.at(0).number);
    }

    // A malformed row is counted and blocks the entries after it. The feed continues once the row is repaired.
    void feedContinuesAfterMalformedRowIsRepaired()
    {
        const FeedEntry entry {.sequence = 1, .ticket = makeTicket({.number = 4})};
        for (const auto *text : {"{", "[]", R"({"sequence":-1,"ticket":{}})", R"({"sequence":2,"ticket":null})"}) {
            Core::VirtualScheduler clock;
            FaultyTable table(clock, 1);
            TestHost host(clock, table, 7);
            putFeedRow(table, text);
            clock.advance(std::chrono::seconds(10));
            CPPUNIT_ASSERT(host.feed.malformedRowCount() > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), host.feed.state()->sequence());
            putFeedRow(table, toJson(entry).dump());
            clock.advance(std::chrono::seconds(10));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), host.feed.state()->sequence());
        }
    }

    void numberFromTextAcceptsOnlyDigitsInRange()
    {
        for (const auto *text : {"", "-1", " 1", "1 ", "0x1", "1e3", "18446744073709551616"}) {
            CPPUNIT_ASSERT(!numberFromText(text).has_value());
        }
        CPPUNIT_ASSERT_EQUAL(UINT64_MAX, numberFromText("18446744073709551615").value());
    }

    // The index of rules by pattern must give the same result as a scan over all rules.
    void ruleIndexMatchesScanOfAllRules()
    {
        CPPUNIT_ASSERT(rc::check("the rule index matches a scan over all rules", [] {
            const auto word = rc::gen::container<std::string>(rc::gen::element('a', 'b'));
            std::map<std::string, RuleState> rules;
            TicketState state;
            const auto count = *rc::gen::inRange<std::uint64_t>(0, 12);
            const auto name = *word;
            for (std::uint64_t i = 1; i <= count; ++i) {
                const auto pattern = *word + (*rc::gen::arbitrary<bool>() ? "*" : "");
                const RuleState rule {.name = *rc::gen::element<std::string>("r1", "r2", "r3"),
                                      .customers = {*rc::gen::element<std::string>("noor", "colombo", "*")},
                                      .adapters = {pattern}};
                rules[rule.name] = rule;
                (void)state.apply({.sequence = i, .ticket = {.number = i, .objects = {rule}}});
            }
            const AdapterState adapter {.name = name, .versions = {"1"}, .currentVersion = "1"};
            (void)state.apply({.sequence = count + 1, .ticket = {.number = count + 1, .objects = {adapter}}});
            const bool isAllowed = std::any_of(rules.begin(), rules.end(), [&](const auto &entry) {
                const auto &[customer, pattern] = std::pair(entry.second.customers[0], entry.second.adapters[0]);
                const bool isMatch = pattern.ends_with('*') && name.starts_with(pattern.substr(0, pattern.size() - 1));
                return (customer == "*" || customer == "noor") && (isMatch || pattern == name);
            });
            RC_ASSERT(std::holds_alternative<ResolvedAdapter>(state.resolve({"noor"}, name)) == isAllowed);
        }));
    }

private:
    static void putFeedRow(FaultyTable &table, const std::string &text)
    {
        (void)table.rows().transact(
            {.puts = {{.table = std::string(Tables::Feed), .key = numberKey(1), .value = text}}});
        table.recordVersion();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketRaceTest);

}
